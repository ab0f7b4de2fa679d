//! What a call keeper asks for.

use std::time;

use crate::{call_outcome, message};

/// What a call keeper asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to an instance, which may be this one.
    Send(ids::InstanceId, message::Message),
    /// Send the call to a backend server, once, unless this comes later than `start_within`.
    Attempt {
        /// The call.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::AttemptNumber,
        /// The backend server.
        server: ids::ServerName,
        /// Time left to answer.
        time_left: time::Duration,
        /// Time within which the first byte may leave; later it must not.
        start_within: time::Duration,
    },
    /// Answer the caller and forget the call.
    Finish(ids::RequestId, call_outcome::CallOutcome),
}
