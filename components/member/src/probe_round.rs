//! The order in which members are probed, and the probes in flight.

use std::time;

use rand::seq::SliceRandom as _;

/// A probe that has not been acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenProbe {
    pub(crate) target: ids::InstanceId,
    /// When others are asked to probe the target; `None` once they were.
    pub(crate) indirect_at: Option<clock::Timestamp>,
    /// When the target becomes a suspect.
    pub(crate) deadline: clock::Timestamp,
}

/// Times that a probe may take, by where its target stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeTimes {
    /// Time after which others are asked.
    pub(crate) direct: time::Duration,
    /// Time after which the target becomes a suspect.
    pub(crate) total: time::Duration,
}

/// Times for a target in the own region.
pub(crate) const NEAR_TIMES: ProbeTimes = ProbeTimes {
    direct: time::Duration::from_millis(150),
    total: time::Duration::from_millis(500),
};

/// Times for a target in another region.
pub(crate) const FAR_TIMES: ProbeTimes = ProbeTimes {
    direct: time::Duration::from_millis(400),
    total: time::Duration::from_millis(1_500),
};

/// The order in which members are probed, and the probes in flight.
///
/// Each pass over the members is in a new random order, so every member is probed within two
/// passes whatever the draws.
#[derive(Debug, Default)]
pub(crate) struct ProbeRound {
    open: Vec<OpenProbe>,
    order: Vec<ids::InstanceId>,
}

impl ProbeRound {
    /// Returns the next member to probe among `members`, which are in order.
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

    /// Opens a probe.
    pub(crate) fn open(
        &mut self,
        now: clock::Timestamp,
        target: ids::InstanceId,
        times: ProbeTimes,
    ) {
        self.acknowledge(target);
        self.open.push(OpenProbe {
            target,
            indirect_at: Some(now + times.direct),
            deadline: now + times.total,
        });
    }

    /// Closes the probe that `from` acknowledges.
    pub(crate) fn acknowledge(&mut self, from: ids::InstanceId) {
        self.open.retain(|probe| probe.target != from);
    }

    /// Forgets the open probes, which a pause has made void.
    pub(crate) fn forget(&mut self) {
        self.open.clear();
    }

    /// Returns the targets that others are to be asked to probe now.
    pub(crate) fn take_indirect(&mut self, now: clock::Timestamp) -> Vec<ids::InstanceId> {
        let due = self
            .open
            .iter_mut()
            .filter(|probe| probe.indirect_at.is_some_and(|at| now >= at));
        due.map(|probe| {
            probe.indirect_at = None;
            probe.target
        })
        .collect()
    }

    /// Closes and returns the targets that nobody has heard in time.
    pub(crate) fn take_silent(&mut self, now: clock::Timestamp) -> Vec<ids::InstanceId> {
        let silent = self.open.extract_if(.., |probe| now >= probe.deadline);
        silent.map(|probe| probe.target).collect()
    }

    /// Returns when a probe has to be looked at.
    pub(crate) fn next_wake(&self) -> Option<clock::Timestamp> {
        self.open
            .iter()
            .map(|probe| probe.indirect_at.unwrap_or(probe.deadline))
            .min()
    }
}
