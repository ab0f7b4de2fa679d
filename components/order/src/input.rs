//! What a reconciler takes.

use std::sync;

/// What a reconciler takes.
#[derive(Clone, Debug)]
pub enum Input {
    /// A state has come into force.
    State(sync::Arc<note::StateInForce>),
    /// The membership has changed.
    View(sync::Arc<member::MemberView>),
    /// An engine's status was read; `None` when that failed.
    Status(ids::ServerName, Option<border::EngineStatus>),
    /// An engine answered an order; `None` when the answer was lost.
    Answered(ids::ServerName, u64, Option<border::OrderAnswer>),
    /// The weight store's limit was read.
    LoadsPerMinute(u32),
    /// How many more engines of a cell should prefill (positive) or decode (negative).
    PrefillDemand(ids::CellId, i32),
    /// Requests that an engine still serves, for draining before a change of role.
    RunningCount(ids::ServerName, u32),
    /// The requested time has come.
    Wake,
}
