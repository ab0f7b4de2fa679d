//! A state update of a lease.

use crate::lease_phase;

/// A state update of a lease from the entry instance that holds it; it also extends the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseUpdate {
    /// The lease.
    pub lease: ids::LeaseId,
    /// Request that the lease serves.
    pub request: ids::RequestId,
    /// Phase of the work.
    pub phase: lease_phase::LeasePhase,
    /// Tokens generated so far.
    pub generated_tokens: u32,
}
