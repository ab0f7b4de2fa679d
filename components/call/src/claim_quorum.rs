//! Quorum that a claim needs before its call may run.

use crate::claim_policy;

/// Largest number of witnesses of one key in which the views of two instances may differ.
const VIEW_DIFFERENCE: usize = 1;

/// Smallest number of witnesses for which the quorum allows for a difference between views.
const VIEW_DIFFERENCE_WITNESSES: usize = 4;

/// Quorum that a claim needs before its call may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimQuorum {
    /// Number of witnesses that must hold the key for the request.
    pub acks: usize,
    /// Number of these witnesses whose records must cover the whole window of earlier claims.
    pub confirmations: usize,
}

/// Quorum with which any two granted claims share a witness that has a record of the first claim.
///
/// For `k` witnesses and views that differ in at most `d` of them, `acks + confirmations > k + d`.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverlapPolicy;

impl claim_policy::ClaimPolicy for OverlapPolicy {
    fn quorum(&self, witnesses: usize) -> ClaimQuorum {
        let view_difference = if witnesses < VIEW_DIFFERENCE_WITNESSES {
            0
        } else {
            VIEW_DIFFERENCE
        };
        let acks = (witnesses + view_difference) / 2 + 1;
        ClaimQuorum {
            acks,
            confirmations: witnesses + view_difference + 1 - acks,
        }
    }
}
