//! Outcome of a call.

use std::time;

use crate::call_failure;

/// Outcome of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The caller receives the answer of this attempt.
    Answered(ids::AttemptNumber),
    /// The caller receives an error.
    Failed {
        /// Whether the call ran, as far as this is proven.
        outcome: border::Outcome,
        /// Reason why the call has no answer.
        failure: call_failure::CallFailure,
        /// Delay after which a retry may succeed; unset when a retry cannot succeed.
        retry_after: Option<time::Duration>,
    },
}
