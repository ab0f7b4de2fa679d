//! Software versions of streams that callers take up again.

use std::{collections, time};

use crate::{
    backend_entry, instance_update, origin_registry, origin_report, relay_core, software_key,
};

/// Time after the start of a process within which the others tell it of the streams that have begun.
const LEARNING_TIME: time::Duration = time::Duration::from_secs(1);

/// Age of the view from which other software versions may serve elsewhere, if instances are out of
/// touch.
pub(super) const MAX_VIEW_AGE: time::Duration = time::Duration::from_secs(3);

/// Time for which a prompt is bound to the version that was sent it. The memory of engines proves the
/// version of a stream only if no engine of another one has read its prompt.
const PROMPT_LIFETIME: time::Duration = time::Duration::from_secs(30);

/// Number of decode engines that a version needs so that repeated prompts are bound to it: with one
/// alone, a prompt that it fails goes to another version.
const MIN_BINDING_ENGINES: usize = 2;

/// Number of instances, by rank, that tell of the streams of those that have ended.
const ADOPTING_INSTANCES: usize = 2;

/// Stream that a caller takes up.
#[derive(Clone, Copy, Debug)]
pub struct StreamQuery<'a> {
    /// Service of the stream.
    pub service: &'a ids::ServiceName,
    /// Hash of the attempt that began the stream, from [`crate::stream_hash`].
    pub stream: Option<u64>,
    /// Hash of the last part of the prompt, from [`crate::part_hash`].
    pub part: Option<u64>,
    /// Time that is left to the caller.
    pub time_left: time::Duration,
}

/// Software version at which a stream has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StreamSoftware {
    /// The stream began at this version, as an instance has told.
    Known(software_key::SoftwareKey),
    /// Only engines of this version can have begun the stream, as the memory of all engines shows.
    Remembered(software_key::SoftwareKey),
    /// The service has had no other version while the stream can have begun.
    Only(software_key::SoftwareKey),
    /// Another instance or an engine may still tell.
    Learning,
    /// The stream may have begun at one of several versions; a late state update may still tell.
    Unknown,
    /// The stream may have begun at one of several versions, and nothing will tell.
    Unprovable,
}

impl relay_core::RelayCore {
    /// Records that a stream begins, or goes on, at a software version. `stream` is the hash of the
    /// attempt that began it, `lifetime` the time within which its caller may take it up.
    pub fn record_origin(
        &mut self,
        now: clock::Timestamp,
        stream: u64,
        software: software_key::SoftwareKey,
        lifetime: time::Duration,
    ) {
        self.origins.record(now, stream, software, lifetime);
    }

    /// Returns the software version at which a stream has begun. Where only the engines can still tell,
    /// they are asked by one instance.
    pub fn stream_software(
        &mut self,
        now: clock::Timestamp,
        query: &StreamQuery<'_>,
    ) -> StreamSoftware {
        let known = query.stream.and_then(|key| self.origins.software(now, key));
        if let Some(software) = known {
            return StreamSoftware::Known(software);
        }
        let service = instance_update::service_hash(query.service);
        let span = self.software_history.span(now);
        let is_searchable = span < self.stream_lifetime();
        if is_searchable {
            self.searches.seek(now, service);
        }
        let read_at = query.part.and_then(|part| self.read_at(now, part));
        // What the store shows of engines that have left covers no more than the lifetime of a stream.
        let is_covered = query.time_left <= self.stream_lifetime();
        if let Some(software) = read_at.filter(|_| is_covered) {
            return StreamSoftware::Remembered(software);
        }
        let has_started = now.since(clock::Timestamp::default()) >= LEARNING_TIME;
        let is_searching = is_searchable && self.searches.is_awaited(now, service);
        if !has_started || is_searching {
            return StreamSoftware::Learning;
        }
        if is_searchable || span < query.time_left {
            return if self.others_have_lived_on(now) {
                StreamSoftware::Unknown
            } else {
                StreamSoftware::Unprovable
            };
        }
        let listed = self.software_history.versions(now, service);
        let versions: collections::BTreeSet<_> =
            listed.chain(self.origins.versions(now, service)).collect();
        match versions.first() {
            Some(only) if versions.len() == 1 && self.knows_all_versions(now) => {
                StreamSoftware::Only(*only)
            }
            _ => StreamSoftware::Unknown,
        }
    }

    /// Returns the time up to now for which all software versions of the list are known.
    #[must_use]
    pub fn versions_known_for(&self, now: clock::Timestamp) -> time::Duration {
        self.software_history.span(now)
    }

    /// Records that an engine is sent a prompt, by the hash of its last part, so that the prompt goes to
    /// the same version when it comes again. That is recorded only while a service has several versions.
    pub fn record_prompt(
        &mut self,
        now: clock::Timestamp,
        part: u64,
        software: software_key::SoftwareKey,
    ) {
        if self.has_several_versions(now, software.service) {
            let key = origin_report::sent_prompt_key(part);
            self.origins.record(now, key, software, PROMPT_LIFETIME);
        }
    }

    /// Returns the software version that a prompt is bound to by the hash of its last part, if that
    /// version has two decode engines that take new work.
    #[must_use]
    pub fn prompt_software(
        &self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        part: u64,
    ) -> Option<software_key::SoftwareKey> {
        if !self.has_several_versions(now, instance_update::service_hash(service)) {
            return None;
        }
        let sent = self
            .origins
            .software(now, origin_report::sent_prompt_key(part));
        let bound = sent.or_else(|| self.read_at(now, part))?;
        (self.serving_engines(bound) >= MIN_BINDING_ENGINES).then_some(bound)
    }

    /// Returns the number of decode engines of a version that take new work.
    fn serving_engines(&self, software: software_key::SoftwareKey) -> usize {
        let entries = self.tracker.view().backends.values();
        let decodes = entries.filter(|entry| {
            !entry.leaving && entry.stage == Some(backend_entry::EngineStage::Decode)
        });
        decodes
            .filter(|entry| software_key::SoftwareKey::of(entry) == software)
            .count()
    }

    /// Returns the version whose engines alone can have read a prompt, by the hash of its last part.
    fn read_at(&self, now: clock::Timestamp, part: u64) -> Option<software_key::SoftwareKey> {
        let key = origin_report::read_prompt_key(part);
        let read = self.origins.software(now, key)?;
        let sent = self
            .origins
            .software(now, origin_report::sent_prompt_key(part));
        sent.is_none_or(|sent| sent == read).then_some(read)
    }

    fn has_several_versions(&self, now: clock::Timestamp, service: u64) -> bool {
        self.software_history.versions(now, service).count() > 1
    }

    /// Returns whether other instances may use software versions that this one doesn't know: its view
    /// is old, and it is out of touch with some of them.
    pub(super) fn may_miss_versions(&self, now: clock::Timestamp) -> bool {
        let is_outdated = self.tracker.age(now).is_none_or(|age| age > MAX_VIEW_AGE);
        is_outdated && self.instances.silent_for(now).is_some()
    }

    fn knows_all_versions(&self, now: clock::Timestamp) -> bool {
        !self.may_miss_versions(now) && !self.is_out_of_step(now)
    }

    /// Applies the origins of streams in an update. Called before the update itself is applied.
    pub(super) fn apply_origins(
        &mut self,
        now: clock::Timestamp,
        update: &mut instance_update::InstanceUpdate,
    ) {
        if update.address == self.settings.address {
            return;
        }
        let reporter = origin_registry::OriginReporter {
            address: update.address,
            incarnation: update.incarnation,
        };
        let reports = std::mem::take(&mut update.origins);
        self.origins.apply_reports(now, reporter, &reports);
        let known = self.instances.last_sequence(update.address);
        let is_same_process = known.is_some_and(|(process, _)| process == update.incarnation);
        if !is_same_process || !self.instances.is_alive(now, update.address) {
            self.origins.tell_again(now);
        }
    }

    /// Makes this instance tell of the streams of instances that have ended, if it is one of the
    /// first by rank.
    pub(super) fn adopt_origins(&mut self, now: clock::Timestamp) {
        if self.instances.rank(now) >= ADOPTING_INSTANCES {
            return;
        }
        let instances = &self.instances;
        self.origins.adopt_orphans(|reporter| {
            let known = instances.last_sequence(reporter.address);
            let is_running = known.is_some_and(|(process, _)| process == reporter.incarnation);
            !is_running || !instances.is_alive(now, reporter.address)
        });
    }
}
