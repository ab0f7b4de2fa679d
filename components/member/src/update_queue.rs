//! Queue of membership updates to piggyback on heartbeats.

use std::{cmp, collections};

/// Number of times that an update is sent, for each doubling of the fleet.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;

/// Queue of instances whose updates are still to be sent, each a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct UpdateQueue {
    /// Remaining transmissions by instance.
    remaining: collections::BTreeMap<ids::InstanceId, u32>,
    /// The same entries in sending order: most remaining transmissions first.
    order: collections::BTreeSet<(cmp::Reverse<u32>, ids::InstanceId)>,
}

impl UpdateQueue {
    /// Queues the update of an instance in a fleet of `members` instances.
    ///
    /// Pushing a queued update again resets its number of transmissions.
    pub(crate) fn push(&mut self, instance: ids::InstanceId, members: usize) {
        let doublings = usize::BITS - members.leading_zeros();
        self.set(instance, TRANSMISSIONS_PER_DOUBLING * doublings.max(1));
    }

    /// Returns up to `limit` instances with the most remaining transmissions and counts one
    /// transmission of each.
    pub(crate) fn next_batch(&mut self, limit: usize) -> Vec<ids::InstanceId> {
        let batch: Vec<_> = self.order.iter().take(limit).copied().collect();
        for (cmp::Reverse(remaining), instance) in &batch {
            self.set(*instance, remaining - 1);
        }
        batch.into_iter().map(|(_, instance)| instance).collect()
    }

    fn set(&mut self, instance: ids::InstanceId, remaining: u32) {
        if let Some(before) = self.remaining.remove(&instance) {
            self.order.remove(&(cmp::Reverse(before), instance));
        }
        if remaining > 0 {
            self.remaining.insert(instance, remaining);
            self.order.insert((cmp::Reverse(remaining), instance));
        }
    }
}
