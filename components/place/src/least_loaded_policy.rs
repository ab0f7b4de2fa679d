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
        book: &cell_book::CellBook,
        ask: &pending_ask::PendingAsk,
    ) -> policy_choice::PolicyChoice {
        let prefill = report_choice::prefill_engines(book)
            .into_iter()
            .min_by_key(|key| report_choice::queued_tokens(book, *key));
        let decode = report_choice::decode_engines(book, ask.kv_pieces, None)
            .into_iter()
            .min_by_key(|key| report_choice::decoding(book, *key));
        report_choice::start_now(now, book, ask, prefill, decode)
    }

    fn retarget(
        &mut self,
        book: &cell_book::CellBook,
        kv_pieces: u32,
        failed: keys::EngineKey,
        _retained_for: time::Duration,
    ) -> Option<keys::EngineKey> {
        report_choice::decode_engines(book, kv_pieces, Some(failed))
            .into_iter()
            .min_by_key(|key| report_choice::decoding(book, *key))
    }

    fn report_interval(&self) -> Option<time::Duration> {
        Some(report_choice::REPORT_INTERVAL)
    }
}
