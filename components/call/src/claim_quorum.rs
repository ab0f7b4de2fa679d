//! What a claim needs before its call may run.

use crate::claim_policy;

/// Witnesses from which two instances' choices for one key may differ at the same time.
const VIEW_DIFFERENCE: usize = 1;

/// Smallest number of witnesses with which a difference between views is allowed for.
const DIFFERENCE_FROM: usize = 4;

/// What a claim needs before its call may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimQuorum {
    /// Witnesses that hold the key for the request.
    pub acks: usize,
    /// Witnesses among them that know of every earlier claim within the window.
    pub vouchers: usize,
}

/// Asks for so many witnesses that any two granted claims share one that remembers the first.
///
/// With `k` witnesses and views that differ in at most `d` of them, `acks + vouchers > k + d`.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverlapPolicy;

impl claim_policy::ClaimPolicy for OverlapPolicy {
    fn quorum(&self, witnesses: usize) -> ClaimQuorum {
        let difference = if witnesses < DIFFERENCE_FROM {
            0
        } else {
            VIEW_DIFFERENCE
        };
        let acks = (witnesses + difference) / 2 + 1;
        ClaimQuorum {
            acks,
            vouchers: witnesses + difference + 1 - acks,
        }
    }
}
