//! Messages between entry instances and cell owners.

use crate::{
    capacity_advert, lease_claim, lease_digest, lease_update, placement, placement_request,
    refusal, retarget_request,
};

/// A message between an entry instance and a cell owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Entry to owner: asks for a placement.
    Request(placement_request::PlacementRequest),
    /// Owner to entry: grants one.
    Placed(placement::Placement),
    /// Owner to entry: refuses one.
    Refused(refusal::Refusal),
    /// Entry to owner: withdraws an ask that isn't answered yet.
    Withdraw(ids::RequestId, ids::AttemptNumber),
    /// Entry to owner: news of leases.
    Updates(Vec<lease_update::LeaseUpdate>),
    /// Entry to owner: what the sender holds in a cell, which extends the leases if it agrees.
    Holding(ids::CellId, lease_digest::LeaseDigest),
    /// Entry to owner: asks for another decode engine.
    Retarget(retarget_request::RetargetRequest),
    /// Entry to new owner: leases held in a cell, the last part flagged.
    Claims(ids::CellId, Vec<lease_claim::LeaseClaim>, bool),
    /// Owner to entry: asks for all leases held in the cell, as claims.
    RequestClaims(ids::CellId),
    /// Owner to entry: leases that the owner doesn't know any more; their work is to end.
    Revoked(Vec<ids::LeaseId>),
    /// Owner to entry: spare capacity.
    Capacity(Vec<capacity_advert::CapacityAdvert>),
}
