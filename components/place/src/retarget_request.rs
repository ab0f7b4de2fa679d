//! A request for another decode engine.

/// Asks for another decode engine while the prefill result is still retained.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetargetRequest {
    /// Lease whose decode engine failed.
    pub lease: ids::LeaseId,
    /// Request the lease serves.
    pub request: ids::RequestId,
    /// Attempt the lease serves.
    pub attempt: ids::AttemptNumber,
    /// Engine that failed, not to be chosen again.
    pub failed: ids::ServerName,
    /// Time for which the prefill result is still retained.
    pub retained_for: std::time::Duration,
}
