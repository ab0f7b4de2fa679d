//! A claim as a witness holds it.

use crate::{claim_key, claim_state};

/// A claim as a witness holds it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct HeldClaim {
    /// Key that is claimed.
    pub key: claim_key::ClaimKey,
    /// Request that claims it.
    pub request: ids::RequestId,
    /// Hash of method, path and body of the request.
    pub fingerprint: u128,
    /// What is known of the call.
    pub state: claim_state::ClaimState,
}
