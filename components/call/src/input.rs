//! Inputs of the call manager.

use std::sync;

use crate::{attempt_result, call_spec, message};

/// Input of the call manager.
///
/// The driver must read the time of an input after it has received the event that the input
/// reports.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller's call arrived.
    Arrived(call_spec::CallSpec),
    /// An attempt ended; sent exactly once for each attempt.
    AttemptEnded(
        ids::RequestId,
        ids::AttemptNumber,
        attempt_result::AttemptResult,
    ),
    /// The caller closed its connection.
    CallerGone(ids::RequestId),
    /// A message was received from an instance, which may be this one.
    Message(ids::InstanceId, message::Message),
    /// A new state of the release notes is in force.
    State(sync::Arc<note::StateInForce>),
    /// The membership view has changed.
    View(sync::Arc<member::MemberView>),
    /// This instance started to drain.
    DrainStarted,
    /// The manager's next wake time has been reached.
    Wake,
}
