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
        now: clock::Moment,
        book: &cell_state::CellState,
        pending: &pending_request::PendingRequest,
    ) -> policy_decision::PolicyDecision {
        let prefill = report_selection::prefill_engines(book)
            .into_iter()
            .min_by_key(|key| report_selection::queued_tokens(book, *key));
        let decode = report_selection::decode_engines(book, pending.kv_pieces, None)
            .into_iter()
            .min_by_key(|key| report_selection::decoding(book, *key));
        report_selection::start_now(now, book, pending, prefill, decode)
    }

    fn retarget(
        &mut self,
        book: &cell_state::CellState,
        kv_pieces: u32,
        failed: keys::EngineKey,
        _retained_for: time::Duration,
    ) -> Option<keys::EngineKey> {
        report_selection::decode_engines(book, kv_pieces, Some(failed))
            .into_iter()
            .min_by_key(|key| report_selection::decoding(book, *key))
    }

    fn report_interval(&self) -> Option<time::Duration> {
        Some(report_selection::REPORT_INTERVAL)
    }
}
