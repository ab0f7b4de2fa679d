//! Work that has ended lately.

use std::{collections, time};

use crate::work_key;

/// Time for which the end of work is remembered.
const MEMORY_SPAN: time::Duration = time::Duration::from_secs(30);

/// Ends that are remembered.
const MEMORY_LIMIT: usize = 8_192;

/// Work that has ended lately, so that late and repeated messages about it change nothing.
#[derive(Clone, Debug, Default)]
pub struct EndedWorks {
    order: collections::VecDeque<(clock::Timestamp, work_key::WorkKey, Option<ids::LeaseId>)>,
    works: collections::BTreeMap<work_key::WorkKey, clock::Timestamp>,
    leases: collections::BTreeSet<ids::LeaseId>,
}

impl EndedWorks {
    /// Remembers the end of work, with its lease if it had one.
    pub fn insert(
        &mut self,
        now: clock::Timestamp,
        work: work_key::WorkKey,
        lease: Option<ids::LeaseId>,
    ) {
        self.forget(now);
        self.order.push_back((now, work, lease));
        self.works.insert(work, now);
        self.leases.extend(lease);
    }

    /// Returns when the work ended, if that is remembered.
    #[must_use]
    pub fn ended_at(&self, work: work_key::WorkKey) -> Option<clock::Timestamp> {
        self.works.get(&work).copied()
    }

    /// Returns whether the lease is remembered to have ended.
    #[must_use]
    pub fn has_lease(&self, lease: ids::LeaseId) -> bool {
        self.leases.contains(&lease)
    }

    fn forget(&mut self, now: clock::Timestamp) {
        while let Some((at, work, lease)) = self.order.front().copied() {
            if self.order.len() < MEMORY_LIMIT && at + MEMORY_SPAN > now {
                return;
            }
            self.order.pop_front();
            if self.works.get(&work) == Some(&at) {
                self.works.remove(&work);
            }
            if let Some(lease) = lease {
                self.leases.remove(&lease);
            }
        }
    }
}
