//! Claim recorded by a witness.

use crate::{claim_key, claim_state};

/// Claim recorded by a witness.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct HeldClaim {
    /// Claimed key.
    pub key: claim_key::ClaimKey,
    /// Request that claims the key.
    pub request: ids::RequestId,
    /// Hash of method, path and body of the request.
    pub fingerprint: u128,
    /// Recorded state of the call.
    pub state: claim_state::ClaimState,
}
