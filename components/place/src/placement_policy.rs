//! The interface of the policies that select engines from the state of a cell.

use std::time;

use crate::{cell_state, keys, pending_request, policy_decision, request_queue};

/// Selects engines for requests.
pub trait PlacementPolicy: Send {
    /// Decides whether a request may wait for a placement behind the work `ahead`.
    ///
    /// The default admits every request.
    fn admit(
        &mut self,
        _now: clock::Timestamp,
        _cell_state: &cell_state::CellState,
        _ahead: request_queue::QueueBacklog,
        _pending: &pending_request::PendingRequest,
    ) -> policy_decision::AdmissionDecision {
        policy_decision::AdmissionDecision::Admit
    }

    /// Decides on a waiting request: start it, keep it waiting or refuse it.
    fn decide(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_state::CellState,
        pending: &pending_request::PendingRequest,
    ) -> policy_decision::PolicyDecision;

    /// Selects a decode engine other than `failed` for a prefill result that is retained for
    /// `retained_for`.
    fn retarget(
        &mut self,
        cell_state: &cell_state::CellState,
        kv_pieces: u32,
        failed: keys::EngineKey,
        retained_for: time::Duration,
    ) -> Option<keys::EngineKey>;

    /// Returns the interval between reads of an engine's load report; `None` if the policy does
    /// not use load reports.
    fn report_interval(&self) -> Option<time::Duration>;
}
