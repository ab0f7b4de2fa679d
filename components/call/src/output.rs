//! Outputs of the call manager.

use std::time;

use crate::{call_outcome, message};

/// Action requested by the call manager.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to an instance, which may be this one.
    Send(ids::InstanceId, message::Message),
    /// Send the call to a backend server, once.
    ///
    /// The driver reads its clock when it receives this action and again immediately before it
    /// writes the first byte of the request, after the connection is established. If more than
    /// `start_within` has passed, it must not write and reports [`crate::Input::AttemptEnded`] with
    /// [`border::BorderError::NotSent`]. This check detects a pause of the process between the two
    /// readings, so the clock must continue while the process is stopped. The driver never sends an
    /// attempt a second time by itself and reports the result of each attempt exactly once, even if
    /// the caller has disconnected.
    Attempt {
        /// Request of the call.
        request: ids::RequestId,
        /// Number of the attempt.
        attempt: ids::AttemptNumber,
        /// Backend server to which the call is sent.
        server: ids::ServerName,
        /// Time left until the deadline of the answer.
        time_left: time::Duration,
        /// Time within which the first byte must be sent; after it no byte may be sent.
        start_within: time::Duration,
    },
    /// Answer the caller immediately.
    ///
    /// An attempt of the call may still be running; its result must be reported nevertheless, and
    /// its reply is dropped.
    Finish(ids::RequestId, call_outcome::CallOutcome),
}
