//! A lease that is reported to a new owner.

use crate::{lease_phase, placement};

/// A lease that an entry instance reports to the new owner of a cell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseClaim {
    /// Cell that the lease belongs to.
    pub cell: ids::CellId,
    /// Placement that was granted under the lease.
    pub placement: placement::Placement,
    /// Phase of the work.
    pub phase: lease_phase::LeasePhase,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Largest output that the caller allows, in tokens.
    pub max_tokens: u32,
    /// Tokens generated so far.
    pub generated_tokens: u32,
}
