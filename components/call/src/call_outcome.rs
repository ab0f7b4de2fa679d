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
        /// Proven outcome of the call.
        outcome: border::Outcome,
        /// Reason why the call has no answer.
        failure: call_failure::CallFailure,
        /// Delay after which a retry may succeed; unset when a retry cannot succeed.
        retry_after: Option<time::Duration>,
    },
}
