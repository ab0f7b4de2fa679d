//! The border between the bookkeeping of an owner and the choice of engines.

use std::time;

use crate::{ask_queue, cell_book, keys, pending_ask, policy_choice};

/// Chooses engines for requests.
pub trait PlacementPolicy: Send {
    /// Decides whether an ask may wait for a placement behind the work `ahead`; every ask may,
    /// unless the policy says otherwise.
    fn admit(
        &mut self,
        _now: clock::Timestamp,
        _book: &cell_book::CellBook,
        _ahead: ask_queue::QueueAhead,
        _ask: &pending_ask::PendingAsk,
    ) -> policy_choice::PolicyVerdict {
        policy_choice::PolicyVerdict::Admit
    }

    /// Decides about the ask that goes first.
    fn choose(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_book::CellBook,
        ask: &pending_ask::PendingAsk,
    ) -> policy_choice::PolicyChoice;

    /// Chooses another decode engine than `failed` for a prefill result kept for `retained_for`.
    fn retarget(
        &mut self,
        cell_state: &cell_book::CellBook,
        kv_pieces: u32,
        failed: keys::EngineKey,
        retained_for: time::Duration,
    ) -> Option<keys::EngineKey>;

    /// Returns the time between two reads of an engine's load report, if the policy wants them.
    fn report_interval(&self) -> Option<time::Duration>;
}
