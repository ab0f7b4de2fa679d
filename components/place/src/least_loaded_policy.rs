//! Takes the engine with the least load by the lagging reports.

use std::time;

use crate::{cell_book, keys, pending_ask, placement_policy, policy_choice, report_choice};

/// Takes the engine with the least load by the lagging reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoadedPolicy;

impl placement_policy::PlacementPolicy for LeastLoadedPolicy {
    fn choose(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_book::CellBook,
        ask: &pending_ask::PendingAsk,
    ) -> policy_choice::PolicyChoice {
        let prefill = report_choice::prefill_engines(cell_state)
            .into_iter()
            .min_by_key(|key| report_choice::queued_tokens(cell_state, *key));
        let decode = report_choice::decode_engines(cell_state, ask.kv_pieces, None)
            .into_iter()
            .min_by_key(|key| report_choice::decoding(cell_state, *key));
        report_choice::start_now(now, cell_state, ask, prefill, decode)
    }

    fn retarget(
        &mut self,
        cell_state: &cell_book::CellBook,
        kv_pieces: u32,
        failed: keys::EngineKey,
        _retained_for: time::Duration,
    ) -> Option<keys::EngineKey> {
        report_choice::decode_engines(cell_state, kv_pieces, Some(failed))
            .into_iter()
            .min_by_key(|key| report_choice::decoding(cell_state, *key))
    }

    fn report_interval(&self) -> Option<time::Duration> {
        Some(report_choice::REPORT_INTERVAL)
    }
}
