//! Messages between call keepers.

use std::time;

use crate::{claim_key, claim_state, held_claim};

/// A message between call keepers.
///
/// Messages may be lost, repeated, delayed and reordered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Entry to witness: claims a key for a request.
    Claim {
        /// Key to claim.
        key: claim_key::ClaimKey,
        /// Request that claims it.
        request: ids::RequestId,
        /// Hash of method, path and body.
        fingerprint: u128,
        /// Time back from now in which an earlier claim of the key may lie.
        window: time::Duration,
    },
    /// Witness to entry: the answer to a claim.
    Claimed {
        /// Key that was asked for.
        key: claim_key::ClaimKey,
        /// Request that asked.
        request: ids::RequestId,
        /// What the witness holds.
        state: claim_state::ClaimState,
        /// Whether the witness knows of every claim it was asked for within the window.
        confirmed: bool,
    },
    /// Entry to witness: what became of a claimed call.
    Settle {
        /// Key that was claimed.
        key: claim_key::ClaimKey,
        /// Request that claimed it.
        request: ids::RequestId,
        /// What became of it.
        state: claim_state::ClaimState,
    },
    /// New witness to an older one: asks for the claims both are witnesses of.
    RequestClaims {
        /// Process that asks; the answers repeat it, so that late ones aren't taken for new.
        process: ids::Incarnation,
        /// Last key of the page before, if any.
        after: Option<claim_key::ClaimKey>,
    },
    /// A page of claims, in the order of their keys, for a new witness or from a leaving one.
    HandOver {
        /// Process that asked; unset when a leaving witness hands over unasked.
        process: Option<ids::Incarnation>,
        /// Last key of the page before, if any.
        after: Option<claim_key::ClaimKey>,
        /// The claims.
        claims: Vec<held_claim::HeldClaim>,
        /// Time back from now for which the sender knows of every claim it was asked for.
        coverage_window: time::Duration,
        /// Whether claims beyond this page remain.
        more: bool,
    },
}
