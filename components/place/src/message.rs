//! Messages between entry instances and cell owners.

use crate::{
    capacity_advert, lease_claim, lease_digest, lease_update, placement, placement_request,
    refusal, retarget_request,
};

/// A message between an entry instance and a cell owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Entry to owner: requests a placement.
    Request(placement_request::PlacementRequest),
    /// Owner to entry: grants a placement.
    Placed(placement::Placement),
    /// Owner to entry: refuses a placement.
    Refused(refusal::Refusal),
    /// Entry to owner: cancels a placement request that has not been answered.
    Withdraw(ids::RequestId, ids::AttemptNumber),
    /// Entry to owner: lease updates.
    Updates(Vec<lease_update::LeaseUpdate>),
    /// Entry to owner: digest of the sender's leases in a cell, which extends them if it matches.
    Holding(ids::CellId, lease_digest::LeaseDigest),
    /// Entry to owner: requests another decode engine.
    Retarget(retarget_request::RetargetRequest),
    /// Entry to new owner: leases held in a cell; the flag marks the last part of the list.
    Claims(ids::CellId, Vec<lease_claim::LeaseClaim>, bool),
    /// Owner to entry: requests claims for all leases held in the cell.
    RequestClaims(ids::CellId),
    /// Owner to entry: leases that the owner has ended; the entry must stop their work.
    Revoked(Vec<ids::LeaseId>),
    /// Owner to entry: free capacity of cells.
    Capacity(Vec<capacity_advert::CapacityAdvert>),
}
