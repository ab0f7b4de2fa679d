//! The order in which members are probed, and the open probes.

use std::time;

use rand::seq::SliceRandom as _;

/// A probe that has not been acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenProbe {
    pub(crate) target: ids::InstanceId,
    /// Time at which indirect probes are requested; `None` once they were.
    pub(crate) indirect_at: Option<clock::Timestamp>,
    /// Time at which the target becomes a suspect.
    pub(crate) deadline: clock::Timestamp,
}

/// Timeouts of a probe, which depend on the region of the target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeTimeouts {
    /// Timeout of the direct probe, after which indirect probes are requested.
    pub(crate) direct: time::Duration,
    /// Timeout of the whole probe, after which the target becomes a suspect.
    pub(crate) total: time::Duration,
}

/// Timeouts for a target in the same region.
pub(crate) const SAME_REGION_TIMEOUTS: ProbeTimeouts = ProbeTimeouts {
    direct: time::Duration::from_millis(150),
    total: time::Duration::from_millis(500),
};

/// Timeouts for a target in another region.
pub(crate) const OTHER_REGION_TIMEOUTS: ProbeTimeouts = ProbeTimeouts {
    direct: time::Duration::from_millis(400),
    total: time::Duration::from_millis(1_500),
};

/// The order in which members are probed, and the open probes.
///
/// Each pass probes every member once, in a new random order, so the time between two probes of one
/// member is at most two passes.
#[derive(Debug, Default)]
pub(crate) struct ProbeSchedule {
    open: Vec<OpenProbe>,
    /// Members that this pass still has to probe, the next one last.
    remaining: Vec<ids::InstanceId>,
}

impl ProbeSchedule {
    /// Returns the next member to probe among `members`, which must be sorted.
    pub(crate) fn next(
        &mut self,
        members: &[ids::InstanceId],
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<ids::InstanceId> {
        while let Some(target) = self.remaining.pop() {
            if members.binary_search(&target).is_ok() {
                return Some(target);
            }
        }
        self.remaining = members.to_vec();
        self.remaining.shuffle(random);
        self.remaining.pop()
    }

    /// Starts a probe and replaces an open probe of the same target.
    pub(crate) fn open(
        &mut self,
        now: clock::Timestamp,
        target: ids::InstanceId,
        timeouts: ProbeTimeouts,
    ) {
        // Closes an earlier probe of the same target.
        self.acknowledge(target);
        self.open.push(OpenProbe {
            target,
            indirect_at: Some(now + timeouts.direct),
            deadline: now + timeouts.total,
        });
    }

    /// Closes the open probe of `from`.
    pub(crate) fn acknowledge(&mut self, from: ids::InstanceId) {
        self.open.retain(|probe| probe.target != from);
    }

    /// Discards the open probes, whose deadlines are meaningless after a pause of the process.
    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }

    /// Returns the targets for which indirect probes are due, each once.
    pub(crate) fn due_indirect(&mut self, now: clock::Timestamp) -> Vec<ids::InstanceId> {
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

    /// Closes and returns the probes that were not acknowledged before their deadline.
    pub(crate) fn expire(&mut self, now: clock::Timestamp) -> Vec<ids::InstanceId> {
        let expired = self.open.extract_if(.., |probe| now >= probe.deadline);
        expired.map(|probe| probe.target).collect()
    }

    /// Returns the time of the next indirect probe or deadline.
    pub(crate) fn next_wake(&self) -> Option<clock::Timestamp> {
        self.open
            .iter()
            .map(|probe| probe.indirect_at.unwrap_or(probe.deadline))
            .min()
    }
}
