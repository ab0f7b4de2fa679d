//! Planning of role changes of flexible engines by demand, with hysteresis.

use std::time;

/// Time for which a demand must persist before a role is changed.
const MIN_DEMAND_DURATION: time::Duration = time::Duration::from_secs(30);

/// Shortest time between two role changes in one cell.
const ROLE_CHANGE_COOLDOWN: time::Duration = time::Duration::from_secs(120);

/// Tracks the demand of one cell for prefill and decode engines.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RolePlanner {
    demand: i32,
    demand_since: clock::Timestamp,
    changed_at: Option<clock::Timestamp>,
}

impl RolePlanner {
    /// Sets the demand: the number of additional engines for prefill, or for decode if negative.
    pub(crate) fn set_demand(&mut self, now: clock::Timestamp, demand: i32) {
        if demand.signum() != self.demand.signum() {
            self.demand_since = now;
        }
        self.demand = demand;
    }

    /// Returns the role to which an engine should change, if the demand has persisted and the
    /// cooldown after the last role change has passed.
    pub(crate) fn due_role(&self, now: clock::Timestamp) -> Option<note::EngineRole> {
        let has_persisted = now.since(self.demand_since) >= MIN_DEMAND_DURATION;
        let is_cooled_down = self
            .changed_at
            .is_none_or(|at| now.since(at) >= ROLE_CHANGE_COOLDOWN);
        match self.demand.signum() {
            1 if has_persisted && is_cooled_down => Some(note::EngineRole::Prefill),
            -1 if has_persisted && is_cooled_down => Some(note::EngineRole::Decode),
            _ => None,
        }
    }

    /// Records that an engine was selected for a role change.
    pub(crate) const fn record_change(&mut self, now: clock::Timestamp) {
        self.changed_at = Some(now);
    }
}
