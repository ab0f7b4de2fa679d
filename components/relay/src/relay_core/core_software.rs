//! Software versions of streams that callers take up again.

use std::{collections, time};

use crate::{instance_update, origin_registry, relay_core, software_key};

/// Time after the start of a process within which the others tell it of the streams that have begun.
const LEARNING_TIME: time::Duration = time::Duration::from_secs(1);

/// Age of the view from which other software versions may serve elsewhere, if instances are out of
/// touch.
const MAX_VIEW_AGE: time::Duration = time::Duration::from_secs(3);

/// Number of instances, by rank, that tell of the streams of those that have ended.
const ADOPTING_INSTANCES: usize = 2;

/// Software version at which a stream has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamSoftware {
    /// The stream began at this version.
    Known(software_key::SoftwareKey),
    /// The service has had no other version while the stream can have begun.
    Only(software_key::SoftwareKey),
    /// Another instance may still tell.
    Learning,
    /// The stream may have begun at one of several versions.
    Unknown,
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

    /// Returns the software version at which a stream has begun, by the hash of the attempt that
    /// began it.
    #[must_use]
    pub fn stream_software(
        &self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        stream: Option<u64>,
    ) -> StreamSoftware {
        let known = stream.and_then(|stream| self.origins.software(now, stream));
        if let Some(software) = known {
            return StreamSoftware::Known(software);
        }
        if now.since(clock::Timestamp::default()) < LEARNING_TIME {
            return StreamSoftware::Learning;
        }
        let service = instance_update::service_hash(service);
        let listed = self.software_history.versions(now, service);
        let versions: collections::BTreeSet<_> =
            listed.chain(self.origins.versions(now, service)).collect();
        match versions.first() {
            Some(only) if versions.len() == 1 && !self.may_miss_versions(now) => {
                StreamSoftware::Only(*only)
            }
            _ => StreamSoftware::Unknown,
        }
    }

    /// Returns whether other instances may use software versions that this one doesn't know: its view
    /// is old, and it is out of touch with some of them.
    fn may_miss_versions(&self, now: clock::Timestamp) -> bool {
        let is_outdated = self.tracker.age(now).is_none_or(|age| age > MAX_VIEW_AGE);
        is_outdated && self.instances.silent_for(now).is_some()
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
