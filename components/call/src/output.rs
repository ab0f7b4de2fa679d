//! What a call keeper asks for.

use std::time;

use crate::{call_outcome, message};

/// What a call keeper asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to an instance, which may be this one.
    Send(ids::InstanceId, message::Message),
    /// Send the call to a backend server, once.
    ///
    /// The driver reads its clock when it receives this and again immediately before it writes the
    /// first byte of the request, after the connection stands. When more than `start_within` has
    /// passed, it must not write: it reports [`crate::Input::AttemptEnded`] with
    /// [`border::BorderError::NotSent`]. A process that was paused in between is caught there. The
    /// clock must go on while the process is stopped. The driver never sends an attempt a second
    /// time by itself and reports each attempt exactly once, also after the caller is gone.
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
    /// Answer the caller, at once.
    ///
    /// An attempt of the call may still be open; its end is reported all the same and its reply
    /// is dropped.
    Finish(ids::RequestId, call_outcome::CallOutcome),
}
