//! Roles of flexible engines by demand, with hysteresis.

use std::time;

/// Time for which demand must last before a role is changed.
const DEMAND_SPAN: time::Duration = time::Duration::from_secs(30);

/// Time between two changes of role in one cell.
const CHANGE_INTERVAL: time::Duration = time::Duration::from_secs(120);

/// Follows the demand of one cell for prefill and decode.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RolePlanner {
    wanted: i32,
    since: clock::Timestamp,
    changed_at: Option<clock::Timestamp>,
}

impl RolePlanner {
    /// Takes the demand: engines that should go over to prefill, or to decode if negative.
    pub(crate) fn take_demand(&mut self, now: clock::Timestamp, wanted: i32) {
        if wanted.signum() != self.wanted.signum() {
            self.since = now;
        }
        self.wanted = wanted;
    }

    /// Returns the role that one more engine should take, if demand has lasted.
    pub(crate) fn due_role(&self, now: clock::Timestamp) -> Option<note::EngineRole> {
        let lasted = now.since(self.since) >= DEMAND_SPAN;
        let rested = self
            .changed_at
            .is_none_or(|at| now.since(at) >= CHANGE_INTERVAL);
        match self.wanted.signum() {
            1 if lasted && rested => Some(note::EngineRole::Prefill),
            -1 if lasted && rested => Some(note::EngineRole::Decode),
            _ => None,
        }
    }

    /// Notes that an engine was chosen to change its role.
    pub(crate) const fn note_change(&mut self, now: clock::Timestamp) {
        self.changed_at = Some(now);
    }
}
