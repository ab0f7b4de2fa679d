//! Messages between call managers.

use std::time;

use crate::{claim_key, claim_state, held_claim};

/// Message between call managers.
///
/// Messages may be lost, duplicated, delayed and reordered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Claim of a key for a request, sent by the request's entry instance to a witness.
    Claim {
        /// Key to be claimed.
        key: claim_key::ClaimKey,
        /// Request that claims the key.
        request: ids::RequestId,
        /// Hash of method, path and body.
        fingerprint: u128,
        /// Length of the period before now in which the key may have been claimed earlier.
        window: time::Duration,
    },
    /// Answer of a witness to a claim.
    Claimed {
        /// Key of the claim.
        key: claim_key::ClaimKey,
        /// Request that claimed the key.
        request: ids::RequestId,
        /// State of the claim at the witness.
        state: claim_state::ClaimState,
        /// Whether the witness has a record of every claim of the key within the window.
        confirmed: bool,
    },
    /// Final state of a claimed call, sent by the entry instance to a witness.
    Settle {
        /// Claimed key.
        key: claim_key::ClaimKey,
        /// Request that claimed the key.
        request: ids::RequestId,
        /// Final state of the call.
        state: claim_state::ClaimState,
    },
    /// Recovery request of a new witness to an older one, for the claims of the keys for which both
    /// are witnesses.
    RequestClaims {
        /// Requesting process; answers repeat it, so that answers to an earlier process are
        /// ignored.
        process: ids::Incarnation,
        /// Last key of the previous page, if any.
        after: Option<claim_key::ClaimKey>,
    },
    /// Page of claims in key order, sent to a new witness or by a draining witness.
    HandOver {
        /// Requesting process; unset when a draining witness sends its claims without a request.
        process: Option<ids::Incarnation>,
        /// Last key of the previous page, if any.
        after: Option<claim_key::ClaimKey>,
        /// Claims of the page.
        claims: Vec<held_claim::HeldClaim>,
        /// Time before now for which the sender has a record of every claim that was sent to it.
        coverage_window: time::Duration,
        /// Whether more pages follow.
        more: bool,
    },
}
