//! A request for another decode engine.

/// A request for another decode engine while the prefill result is still retained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetargetRequest {
    /// Lease whose decode engine failed.
    pub lease: ids::LeaseId,
    /// Request that the lease serves.
    pub request: ids::RequestId,
    /// New attempt, under which the work continues.
    pub attempt: ids::AttemptNumber,
    /// Decode engine that failed and must not be selected again.
    pub failed: ids::ServerName,
    /// Remaining time for which the prefill result is retained.
    pub retained_for: std::time::Duration,
}
