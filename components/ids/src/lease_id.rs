//! Identifies a lease.

use crate::instance_id;

/// Identifies a lease by the owner that granted it and the owner's own count.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeaseId {
    /// Instance that granted the lease.
    pub owner: instance_id::InstanceId,
    /// Term of ownership in which the lease was granted.
    pub term: u64,
    /// Count of the lease within the term.
    pub sequence: u64,
}
