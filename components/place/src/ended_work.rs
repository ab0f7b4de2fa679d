//! Work that ended recently.

use std::{collections, time};

use crate::work_key;

/// Time for which ended work is retained.
const RETENTION: time::Duration = time::Duration::from_secs(30);

/// Largest number of retained entries.
const ENTRY_LIMIT: usize = 8_192;

/// Work that ended recently, retained so that late and duplicate messages about it are ignored.
#[derive(Clone, Debug, Default)]
pub struct EndedWork {
    order: collections::VecDeque<(clock::Timestamp, work_key::WorkKey, Option<ids::LeaseId>)>,
    ended_at: collections::BTreeMap<work_key::WorkKey, clock::Timestamp>,
    leases: collections::BTreeSet<ids::LeaseId>,
}

impl EndedWork {
    /// Records that work has ended, with its lease if it had one.
    pub fn insert(
        &mut self,
        now: clock::Timestamp,
        work: work_key::WorkKey,
        lease: Option<ids::LeaseId>,
    ) {
        self.remove_expired(now);
        self.order.push_back((now, work, lease));
        self.ended_at.insert(work, now);
        self.leases.extend(lease);
    }

    /// Returns when the work ended, if it is retained.
    #[must_use]
    pub fn ended_at(&self, work: work_key::WorkKey) -> Option<clock::Timestamp> {
        self.ended_at.get(&work).copied()
    }

    /// Returns whether the lease is among the retained ended leases.
    #[must_use]
    pub fn has_lease(&self, lease: ids::LeaseId) -> bool {
        self.leases.contains(&lease)
    }

    fn remove_expired(&mut self, now: clock::Timestamp) {
        while let Some((at, work, lease)) = self.order.front().copied() {
            if self.order.len() < ENTRY_LIMIT && at + RETENTION > now {
                return;
            }
            self.order.pop_front();
            if self.ended_at.get(&work) == Some(&at) {
                self.ended_at.remove(&work);
            }
            if let Some(lease) = lease {
                self.leases.remove(&lease);
            }
        }
    }
}
