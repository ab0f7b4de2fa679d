//! Software versions of streams that callers take up again.

use std::{collections, time};

use crate::{instance_update, origin_registry, origin_report, relay_core, software_key};

/// Time after the start of a process within which the others tell it of the streams that have begun.
pub(super) const LEARNING_TIME: time::Duration = time::Duration::from_secs(1);

/// Age of the view from which other software versions may serve elsewhere, if instances are out of
/// touch.
pub(super) const MAX_VIEW_AGE: time::Duration = time::Duration::from_secs(3);

/// Number of instances, by rank, that tell of the streams of those that have ended.
const ADOPTING_INSTANCES: usize = 2;

/// Time after the start of a process from which it tells of the streams of others. Before that it may not
/// have been told of them itself.
const ADOPTING_AGE: time::Duration = time::Duration::from_secs(3);

/// Stream that a caller takes up.
#[derive(Clone, Copy, Debug)]
pub struct StreamQuery<'a> {
    /// Service of the stream.
    pub service: &'a ids::ServiceName,
    /// Hash of the attempt that began the stream, from [`crate::stream_hash`].
    pub stream: Option<u64>,
    /// Hash of the last part of the prompt, from [`crate::part_hash`].
    pub part: Option<u64>,
    /// Time that is left to the caller, by its own deadline.
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
    /// Records that engines of a software version are sent the request or the prompt of a stream; returns
    /// whether the others have to be told.
    pub fn record_origin(
        &mut self,
        now: clock::Timestamp,
        report: &origin_report::OriginReport,
    ) -> bool {
        if let Some(displaced) = self.origins.displaced_by(now, report) {
            self.origins.record(now, &displaced);
        }
        self.prompts
            .record(now, report, self.lifetimes.longest(now));
        self.origins.record(now, report)
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
        let is_searchable = span < self.lifetimes.longest(now);
        if is_searchable {
            self.searches.seek(now, service);
        }
        let read_at = query
            .part
            .and_then(|part| self.read_at(now, part, query.time_left));
        if let Some(software) = read_at {
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
        let lifetime = self.lifetimes.longest(now);
        let listed = self.software_history.versions(now, service, lifetime);
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

    /// Returns the version that was sent a prompt first, as the memory of the engines shows, by the hash of
    /// its last part, to a caller with `time_left`.
    pub(super) fn read_at(
        &self,
        now: clock::Timestamp,
        part: u64,
        time_left: time::Duration,
    ) -> Option<software_key::SoftwareKey> {
        let shown = |key, lifetime: time::Duration| {
            let software = self.origins.software(now, key);
            software.filter(|_| time_left <= lifetime)
        };
        let first_key = origin_report::first_prompt_key(part);
        let read_key = origin_report::read_prompt_key(part);
        // Other grounds than a prefill engine cover no more than the routes' timeouts.
        let read = shown(first_key, self.lifetimes.longest(now))
            .or_else(|| shown(read_key, self.lifetimes.configured(now)))?;
        let sent = self
            .origins
            .software(now, origin_report::sent_prompt_key(part));
        sent.is_none_or(|sent| sent == read).then_some(read)
    }

    pub(super) fn has_several_versions(&self, now: clock::Timestamp, service: u64) -> bool {
        let lifetime = self.lifetimes.longest(now);
        let versions = self.software_history.versions(now, service, lifetime);
        versions.count() > 1
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
        let lifetime = self.lifetimes.longest(now);
        for report in &reports {
            self.prompts.record(now, report, lifetime);
        }
        self.origins.apply_reports(now, reporter, &reports);
        let known = self.instances.last_sequence(update.address);
        let is_same_process = known.is_some_and(|(process, _)| process == update.incarnation);
        if !is_same_process || !self.instances.is_alive(now, update.address) {
            self.origins.tell_again(now);
        }
    }

    /// Makes this instance tell of the streams of instances that have ended, if it is one of the
    /// first by rank of those that haven't just started.
    pub(super) fn adopt_origins(&mut self, now: clock::Timestamp) {
        let has_just_started = now.since(clock::Timestamp::default()) < ADOPTING_AGE;
        let rank = self.instances.rank_among_known_for(now, ADOPTING_AGE);
        if has_just_started || rank >= ADOPTING_INSTANCES {
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
