//! Notices that the machine was suspended while the steady clock stood still.

use crate::shared_core;

/// Time in milliseconds by which the time of day advances more than the steady clock in a suspension.
const SUSPENSION_MILLIS: u64 = 600;

/// Compares the time of day with the steady clock.
///
/// A time of day that is set forward counts as a suspension, too.
pub(crate) struct PauseWatch {
    wall_millis: u64,
    checked_at: clock::Timestamp,
}

impl PauseWatch {
    pub(crate) fn new(core: &shared_core::SharedCore) -> Self {
        Self {
            wall_millis: core.wall_millis(),
            checked_at: core.now(),
        }
    }

    /// Tells the core if the machine was suspended since the last check.
    pub(crate) fn check(&mut self, core: &shared_core::SharedCore) {
        let last = std::mem::replace(self, Self::new(core));
        let counted = crate::gateway::millis(self.checked_at.since(last.checked_at));
        let elapsed = self.wall_millis.saturating_sub(last.wall_millis);
        if elapsed.saturating_sub(counted) > SUSPENSION_MILLIS {
            core.decide(relay::RelayCore::record_suspension);
        }
    }
}
