//! Takes the engines in turn, whatever their load.

use std::time;

use crate::{cell_book, keys, pending_ask, placement_policy, policy_choice, report_choice};

/// Takes the engines in turn, whatever their load.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobinPolicy {
    turn: usize,
}

impl RoundRobinPolicy {
    fn take(&self, engines: &[keys::EngineKey]) -> Option<keys::EngineKey> {
        let index = self.turn.checked_rem(engines.len())?;
        engines.get(index).copied()
    }
}

impl placement_policy::PlacementPolicy for RoundRobinPolicy {
    fn choose(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_book::CellBook,
        ask: &pending_ask::PendingAsk,
    ) -> policy_choice::PolicyChoice {
        self.turn += 1;
        let prefill = self.take(&report_choice::prefill_engines(cell_state));
        let decode = self.take(&report_choice::decode_engines(
            cell_state,
            ask.kv_pieces,
            None,
        ));
        report_choice::start_now(now, cell_state, ask, prefill, decode)
    }

    fn retarget(
        &mut self,
        cell_state: &cell_book::CellBook,
        kv_pieces: u32,
        failed: keys::EngineKey,
        _retained_for: time::Duration,
    ) -> Option<keys::EngineKey> {
        self.turn += 1;
        self.take(&report_choice::decode_engines(
            cell_state,
            kv_pieces,
            Some(failed),
        ))
    }

    fn report_interval(&self) -> Option<time::Duration> {
        None
    }
}
