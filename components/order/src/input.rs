//! Inputs of the order reconciler.

use std::sync;

/// Input of the order reconciler.
#[derive(Clone, Debug)]
pub enum Input {
    /// A new state of the release notes is in force.
    State(sync::Arc<note::StateInForce>),
    /// The membership view has changed.
    View(sync::Arc<member::MemberView>),
    /// An engine's status was read; `None` when the read failed.
    Status(ids::ServerName, Option<border::EngineStatus>),
    /// An engine answered the order with this number; `None` when the answer was lost.
    Answered(ids::ServerName, u64, Option<border::OrderAnswer>),
    /// The weight store's limit was read, in loads per minute.
    LoadsPerMinute(u32),
    /// Number of additional engines of a cell required for prefill (positive) or decode (negative).
    PrefillDemand(ids::CellId, i32),
    /// Number of requests that a draining engine still serves.
    RunningCount(ids::ServerName, u32),
    /// The reconciler's next wake time has been reached.
    Wake,
}
