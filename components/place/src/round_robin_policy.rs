//! Selects the engines in turn, independent of their load.

use std::time;

use crate::{
    cell_state, keys, pending_request, placement_policy, policy_decision, report_selection,
};

/// Selects the engines in turn, independent of their load.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobinPolicy {
    turn: usize,
}

impl RoundRobinPolicy {
    fn select(&self, engines: &[keys::EngineKey]) -> Option<keys::EngineKey> {
        let index = self.turn.checked_rem(engines.len())?;
        engines.get(index).copied()
    }
}

impl placement_policy::PlacementPolicy for RoundRobinPolicy {
    fn decide(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_state::CellState,
        pending: &pending_request::PendingRequest,
    ) -> policy_decision::PolicyDecision {
        self.turn += 1;
        let prefill = self.select(&report_selection::prefill_engines(cell_state));
        let decode = self.select(&report_selection::decode_engines(
            cell_state,
            pending.kv_pieces,
            None,
        ));
        report_selection::start_now(now, cell_state, pending, prefill, decode)
    }

    fn retarget(
        &mut self,
        cell_state: &cell_state::CellState,
        kv_pieces: u32,
        failed: keys::EngineKey,
        _retained_for: time::Duration,
    ) -> Option<keys::EngineKey> {
        self.turn += 1;
        self.select(&report_selection::decode_engines(
            cell_state,
            kv_pieces,
            Some(failed),
        ))
    }

    fn report_interval(&self) -> Option<time::Duration> {
        None
    }
}
