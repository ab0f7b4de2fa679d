//! The time in which a new owner learns what is held.

use std::{collections, time};

/// Time after which the new owner stops waiting.
const TAKEOVER_LIMIT: time::Duration = time::Duration::from_secs(2);

/// The time in which a new owner learns what is held.
#[derive(Clone, Debug)]
pub struct TakeoverWait {
    until: clock::Timestamp,
    entries: collections::BTreeSet<ids::InstanceId>,
}

impl TakeoverWait {
    /// Begins to wait for the claims of `entries`.
    pub fn new(now: clock::Timestamp, entries: impl Iterator<Item = ids::InstanceId>) -> Self {
        Self {
            until: now + TAKEOVER_LIMIT,
            entries: entries.collect(),
        }
    }

    /// Returns when the wait ends at the latest.
    pub const fn until(&self) -> clock::Timestamp {
        self.until
    }

    /// Notes that all claims of an instance are in.
    pub fn note_claimed(&mut self, entry: ids::InstanceId) {
        self.entries.remove(&entry);
    }

    /// Stops waiting for instances that are gone.
    pub fn keep_only(&mut self, is_alive: impl Fn(ids::InstanceId) -> bool) {
        self.entries.retain(|entry| is_alive(*entry));
    }

    /// Returns whether the claims are in, or the time is up.
    pub fn is_over(&self, now: clock::Timestamp) -> bool {
        self.entries.is_empty() || now >= self.until
    }
}
