//! News of a lease.

use crate::lease_phase;

/// News of a lease from the instance that holds it; it extends the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseUpdate {
    /// The lease.
    pub lease: ids::LeaseId,
    /// Request the lease serves.
    pub request: ids::RequestId,
    /// How far the work has come.
    pub phase: lease_phase::LeasePhase,
    /// Tokens generated so far.
    pub generated_tokens: u32,
}
