//! News that are still to be passed on.

use std::{cmp, collections};

/// Times a piece of news is passed on, for each doubling of the fleet.
const COPIES_PER_DOUBLING: u32 = 2;

/// News that are still to be passed on, each a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct NewsQueue {
    left: collections::BTreeMap<ids::InstanceId, u32>,
    /// The same, with the news that were passed on least first.
    order: collections::BTreeSet<(cmp::Reverse<u32>, ids::InstanceId)>,
}

impl NewsQueue {
    /// Adds news of an instance to a fleet of `members` instances.
    pub(crate) fn push(&mut self, instance: ids::InstanceId, members: usize) {
        let doublings = usize::BITS - members.leading_zeros();
        self.set(instance, COPIES_PER_DOUBLING * doublings.max(1));
    }

    /// Takes the instances whose news have been passed on least, at most `limit`.
    pub(crate) fn take(&mut self, limit: usize) -> Vec<ids::InstanceId> {
        let taken: Vec<_> = self.order.iter().take(limit).copied().collect();
        for (cmp::Reverse(left), instance) in &taken {
            self.set(*instance, left - 1);
        }
        taken.into_iter().map(|(_, instance)| instance).collect()
    }

    fn set(&mut self, instance: ids::InstanceId, left: u32) {
        if let Some(before) = self.left.remove(&instance) {
            self.order.remove(&(cmp::Reverse(before), instance));
        }
        if left > 0 {
            self.left.insert(instance, left);
            self.order.insert((cmp::Reverse(left), instance));
        }
    }
}
