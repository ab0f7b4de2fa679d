//! Messages between call keepers.

use crate::claim_key;

/// What a key owner holds of a claim.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum ClaimState {
    /// The asking request may run the call.
    Granted,
    /// Another request runs the call.
    Running,
    /// The call has run.
    Ran,
    /// The call provably didn't run; it may be claimed again.
    NotRun,
    /// Whether the call ran can't be known.
    Unknown,
}

/// A message between call keepers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Entry to key owner: claims a key for a request.
    Claim(claim_key::ClaimKey, ids::RequestId, u128),
    /// Key owner to entry: the answer.
    Claimed(claim_key::ClaimKey, ids::RequestId, ClaimState),
    /// Entry to key owner: what became of a granted claim.
    Settle(claim_key::ClaimKey, ids::RequestId, ClaimState),
    /// Leaving key owner to the next: claims with request, fingerprint and state.
    HandOver(Vec<(claim_key::ClaimKey, ids::RequestId, u128, ClaimState)>),
}
