//! Policy for the size of a claim quorum.

use crate::claim_quorum;

/// Defines the quorum of witnesses that must grant a claim before a call runs under its key.
pub trait ClaimPolicy: Send + Sync {
    /// Returns the quorum of a claim for a key with this number of witnesses.
    fn quorum(&self, witnesses: usize) -> claim_quorum::ClaimQuorum;
}
