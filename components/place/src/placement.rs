//! A granted placement.

use std::time;

/// A granted placement: a prefill and a decode engine, with capacity reserved on both until the
/// lease expires.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
#[builder(on(_, into))]
pub struct Placement {
    /// Request that is placed.
    pub request: ids::RequestId,
    /// Attempt that is placed.
    pub attempt: ids::AttemptNumber,
    /// Lease on the decode slot, the KV cache pieces and the link time.
    pub lease: ids::LeaseId,
    /// Engine that runs prefill.
    pub prefill: ids::ServerName,
    /// Engine that runs decode.
    pub decode: ids::ServerName,
    /// KV cache pieces leased at the decode engine.
    pub kv_pieces: u32,
    /// Delay before prefill starts.
    pub start_in: time::Duration,
    /// Time until the lease expires unless it is extended.
    pub expires_in: time::Duration,
}
