//! The outcome of a model request.

use std::time;

/// The outcome of a model request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FlowOutcome {
    /// The whole answer was delivered.
    Answered(border::FinishReason),
    /// The request was refused before any engine received it.
    Refused {
        /// Reason for the refusal.
        reason: place::RefusalReason,
        /// Delay after which a retry may succeed.
        retry_after: time::Duration,
    },
    /// The request failed after an engine may have received the request.
    Broken {
        /// Whether the request is proved to have run or not to have run.
        outcome: border::Outcome,
        /// Tokens that the caller has received.
        delivered: u32,
    },
}
