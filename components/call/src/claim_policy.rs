//! How many witnesses must agree to a claim.

use crate::claim_quorum;

/// Decides how many witnesses must agree before a call runs under a key.
pub trait ClaimPolicy: Send + Sync {
    /// Returns what a claim needs when the key has this number of witnesses.
    fn quorum(&self, witnesses: usize) -> claim_quorum::ClaimQuorum;
}
