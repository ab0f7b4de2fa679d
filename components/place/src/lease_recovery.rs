//! Lease recovery by a new owner.

use std::{collections, time};

/// Time limit of the recovery.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Progress of the recovery in which a new owner collects the claims of existing leases.
#[derive(Clone, Debug)]
pub struct LeaseRecovery {
    deadline: clock::Timestamp,
    entries: collections::BTreeSet<ids::InstanceId>,
}

impl LeaseRecovery {
    /// Starts a recovery that waits for the claims of `entries`.
    pub fn new(now: clock::Timestamp, entries: impl Iterator<Item = ids::InstanceId>) -> Self {
        Self {
            deadline: now + RECOVERY_LIMIT,
            entries: entries.collect(),
        }
    }

    /// Returns the time at which the recovery ends at the latest.
    pub const fn deadline(&self) -> clock::Timestamp {
        self.deadline
    }

    /// Records that all claims of an instance were received.
    pub fn record_claimed(&mut self, entry: ids::InstanceId) {
        self.entries.remove(&entry);
    }

    /// Stops waiting for instances that are not alive.
    pub fn retain_entries(&mut self, is_alive: impl Fn(ids::InstanceId) -> bool) {
        self.entries.retain(|entry| is_alive(*entry));
    }

    /// Returns whether all claims were received or the time limit has passed.
    pub fn is_complete(&self, now: clock::Timestamp) -> bool {
        self.entries.is_empty() || now >= self.deadline
    }
}
