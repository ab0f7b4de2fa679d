//! Selects the engine with the least reported load.

use std::time;

use crate::{
    cell_state, keys, pending_request, placement_policy, policy_decision, report_selection,
};

/// Selects the engine with the least reported load; the load reports lag behind.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoadedPolicy;

impl placement_policy::PlacementPolicy for LeastLoadedPolicy {
    fn decide(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_state::CellState,
        pending: &pending_request::PendingRequest,
    ) -> policy_decision::PolicyDecision {
        let prefill = report_selection::prefill_engines(cell_state)
            .into_iter()
            .min_by_key(|key| report_selection::queued_tokens(cell_state, *key));
        let decode = report_selection::decode_engines(cell_state, pending.kv_pieces, None)
            .into_iter()
            .min_by_key(|key| report_selection::decoding(cell_state, *key));
        report_selection::start_now(now, cell_state, pending, prefill, decode)
    }

    fn retarget(
        &mut self,
        cell_state: &cell_state::CellState,
        kv_pieces: u32,
        failed: keys::EngineKey,
        _retained_for: time::Duration,
    ) -> Option<keys::EngineKey> {
        report_selection::decode_engines(cell_state, kv_pieces, Some(failed))
            .into_iter()
            .min_by_key(|key| report_selection::decoding(cell_state, *key))
    }

    fn report_interval(&self) -> Option<time::Duration> {
        Some(report_selection::REPORT_INTERVAL)
    }
}
