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
    /// Reason for the refusal.
    pub reason: refusal_reason::RefusalReason,
    /// Delay after which a retry may succeed.
    pub retry_after: time::Duration,
}
