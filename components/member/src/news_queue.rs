//! News that are still to be passed on.

use std::collections::BTreeMap;

/// Times a piece of news is passed on, for each doubling of the fleet.
const COPIES_PER_DOUBLING: u32 = 3;

/// News that are still to be passed on, each a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct NewsQueue {
    left: BTreeMap<ids::InstanceId, u32>,
}

impl NewsQueue {
    /// Adds news of an instance to a fleet of `members` instances.
    pub(crate) fn push(&mut self, instance: ids::InstanceId, members: usize) {
        let doublings = usize::BITS - members.leading_zeros();
        self.left
            .insert(instance, COPIES_PER_DOUBLING * doublings.max(1));
    }

    /// Takes the instances whose news have been passed on least, at most `limit`.
    pub(crate) fn take(&mut self, limit: usize) -> Vec<ids::InstanceId> {
        let mut waiting: Vec<_> = self
            .left
            .iter()
            .map(|(instance, left)| (std::cmp::Reverse(*left), *instance))
            .collect();
        waiting.sort_unstable();
        waiting.truncate(limit);
        let taken: Vec<_> = waiting.into_iter().map(|(_, instance)| instance).collect();
        for instance in &taken {
            self.count_down(*instance);
        }
        taken
    }

    fn count_down(&mut self, instance: ids::InstanceId) {
        let Some(left) = self.left.get_mut(&instance) else {
            return;
        };
        *left -= 1;
        if *left == 0 {
            self.left.remove(&instance);
        }
    }
}
