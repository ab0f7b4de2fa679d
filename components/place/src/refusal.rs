//! A refused placement.

use std::time;

use crate::refusal_reason;

/// A refused placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Request that is refused.
    pub request: ids::RequestId,
    /// Attempt that is refused.
    pub attempt: ids::AttemptNumber,
    /// Why it is refused.
    pub reason: refusal_reason::RefusalReason,
    /// Time after which asking again may succeed.
    pub retry_after: time::Duration,
}
