//! The border between the bookkeeping of an owner and the choice of engines.

use std::time;

use crate::{cell_state, keys, pending_request, policy_decision, request_queue};

/// Chooses engines for requests.
pub trait PlacementPolicy: Send {
    /// Decides whether an ask may wait for a placement behind the work `ahead`; every ask may,
    /// unless the policy says otherwise.
    fn admit(
        &mut self,
        _now: clock::Moment,
        _book: &cell_state::CellState,
        _ahead: request_queue::QueueBacklog,
        _pending: &pending_request::PendingRequest,
    ) -> policy_decision::AdmissionDecision {
        policy_decision::AdmissionDecision::Admit
    }

    /// Decides about the ask that goes first.
    fn choose(
        &mut self,
        now: clock::Moment,
        book: &cell_state::CellState,
        pending: &pending_request::PendingRequest,
    ) -> policy_decision::PolicyDecision;

    /// Chooses another decode engine than `failed` for a prefill result kept for `retained_for`.
    fn retarget(
        &mut self,
        book: &cell_state::CellState,
        kv_pieces: u32,
        failed: keys::EngineKey,
        retained_for: time::Duration,
    ) -> Option<keys::EngineKey>;

    /// Returns the time between two reads of an engine's load report, if the policy wants them.
    fn report_interval(&self) -> Option<time::Duration>;
}
