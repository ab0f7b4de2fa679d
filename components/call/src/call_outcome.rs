//! How a call ended.

use std::time;

use crate::call_failure;

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The caller receives the answer of this attempt.
    Answered(ids::AttemptNumber),
    /// The caller receives an error.
    Failed {
        /// What is proved of the call.
        outcome: border::Outcome,
        /// Why there is no answer.
        failure: call_failure::CallFailure,
        /// Time after which asking again may succeed.
        retry_after: Option<time::Duration>,
    },
}
