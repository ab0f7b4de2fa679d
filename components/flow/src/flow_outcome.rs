//! How a model request ended.

use std::time;

/// How a model request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FlowOutcome {
    /// The whole answer was delivered.
    Answered(border::FinishReason),
    /// The request was refused before any engine received it.
    Refused {
        /// Why.
        reason: place::RefusalReason,
        /// Time after which asking again may succeed.
        retry_after: time::Duration,
    },
    /// The request failed after an engine received it.
    Broken {
        /// What is proved of the request.
        outcome: border::Outcome,
        /// Tokens that the caller has received.
        delivered: u32,
    },
}
