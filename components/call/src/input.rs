//! What a call keeper takes.

use std::sync;

use crate::{attempt_result, call_spec, message};

/// What a call keeper takes.
///
/// The driver reads the time that it passes along after it has received what the input tells.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's call arrived.
    Arrived(call_spec::CallSpec),
    /// An attempt ended; told exactly once for each attempt.
    AttemptEnded(
        ids::RequestId,
        ids::AttemptNumber,
        attempt_result::AttemptResult,
    ),
    /// The caller closed its connection.
    CallerGone(ids::RequestId),
    /// An instance sent a message; this instance may be that instance.
    Message(ids::InstanceId, message::Message),
    /// A state has come into force.
    State(sync::Arc<note::StateInForce>),
    /// The membership has changed.
    View(sync::Arc<member::MemberView>),
    /// This instance begins to drain.
    DrainBegan,
    /// The requested time has come.
    Wake,
}
