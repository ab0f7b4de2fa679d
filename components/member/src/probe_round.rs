//! The order in which members are probed, and the probe in flight.

use rand::seq::SliceRandom as _;

/// A probe that has not been acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenProbe {
    pub(crate) target: ids::InstanceId,
    /// When others are asked to probe the target; `None` once they were.
    pub(crate) indirect_at: Option<clock::Moment>,
}

/// The order in which members are probed, and the probe in flight.
///
/// Each pass over the members is in a new random order, so every member is probed within two
/// passes whatever the draws.
#[derive(Debug, Default)]
pub(crate) struct ProbeRound {
    pub(crate) open: Option<OpenProbe>,
    order: Vec<ids::InstanceId>,
}

impl ProbeRound {
    /// Returns the next member to probe among `members`.
    pub(crate) fn next(
        &mut self,
        members: &[ids::InstanceId],
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<ids::InstanceId> {
        while let Some(target) = self.order.pop() {
            if members.binary_search(&target).is_ok() {
                return Some(target);
            }
        }
        self.order = members.to_vec();
        self.order.shuffle(random);
        self.order.pop()
    }

    /// Closes the open probe when `from` acknowledges it.
    pub(crate) fn acknowledge(&mut self, from: ids::InstanceId) {
        if self.open.is_some_and(|open| open.target == from) {
            self.open = None;
        }
    }
}
