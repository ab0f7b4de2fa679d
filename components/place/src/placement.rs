//! A granted placement.

use std::time;

/// A granted placement: two engines, with memory and time assured on both until the expiry.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
#[builder(on(_, into))]
pub struct Placement {
    /// Request that is placed.
    pub request: ids::RequestId,
    /// Attempt that is placed.
    pub attempt: ids::AttemptNumber,
    /// Lease that holds the slot, the pieces and the link time.
    pub lease: ids::LeaseId,
    /// Engine that reads the prompt.
    pub prefill: ids::ServerName,
    /// Engine that generates the answer.
    pub decode: ids::ServerName,
    /// Pieces of engine memory leased at the decode engine.
    pub kv_pieces: u32,
    /// Time to wait before prefill starts.
    pub start_in: time::Duration,
    /// Time until the lease expires unless it is updated.
    pub expires_in: time::Duration,
}
