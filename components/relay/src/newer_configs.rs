//! Versions of the configuration that other instances have and this one lacks.

use std::{collections, time};

/// Largest number of versions that are remembered.
const MAX_VERSIONS: usize = 32;

/// Time after which a version that no instance announces any more counts as lost, if the platform's
/// store doesn't have it either.
const ANNOUNCEMENT_LIFETIME: time::Duration = time::Duration::from_secs(10);

/// Times at which a version was announced.
#[derive(Clone, Copy, Debug)]
struct AnnouncedTimes {
    first: clock::Timestamp,
    last: clock::Timestamp,
}

/// Versions of the configuration that other instances have and this one lacks.
#[derive(Debug, Default)]
pub(crate) struct NewerConfigs {
    versions: collections::BTreeMap<u64, AnnouncedTimes>,
}

impl NewerConfigs {
    /// Records that another instance has a version, which is newer than the own one.
    pub(crate) fn record(&mut self, now: clock::Timestamp, version: u64) {
        if let Some(times) = self.versions.get_mut(&version) {
            times.last = now;
        } else if self.versions.len() < MAX_VERSIONS {
            let times = AnnouncedTimes {
                first: now,
                last: now,
            };
            self.versions.insert(version, times);
        }
    }

    /// Drops the versions up to the own one.
    pub(crate) fn drop_through(&mut self, own_version: u64) {
        self.versions.retain(|version, _| *version > own_version);
    }

    /// Returns the time for which the own configuration has been known to be outdated; `None` while
    /// none is known to be newer. `is_fresh` is whether the view is known to be that of the store.
    pub(crate) fn outdated_for(
        &self,
        now: clock::Timestamp,
        is_fresh: bool,
    ) -> Option<time::Duration> {
        self.versions
            .values()
            .filter(|times| !is_fresh || now.since(times.last) < ANNOUNCEMENT_LIFETIME)
            .map(|times| now.since(times.first))
            .max()
    }
}
