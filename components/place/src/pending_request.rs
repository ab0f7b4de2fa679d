//! A placement request that waits in the queue.

use std::time;

use crate::{placement_request, work_key};

/// A placement request that waits in the queue.
#[derive(Clone, Debug, bon::Builder)]
pub struct PendingRequest {
    /// Instance that sent the request.
    pub from: ids::InstanceId,
    /// The placement request.
    pub request: placement_request::PlacementRequest,
    /// Deadline of the first token, including the wait that the class allows.
    pub deadline: clock::Timestamp,
    /// Target time per output token, in milliseconds; 0 sets no target.
    pub pace_ms: u32,
    /// Priority; higher goes first.
    pub priority: u8,
    /// KV cache pieces that the request needs during decode.
    pub kv_pieces: u32,
    /// Expected duration of prefill at the fastest engine.
    pub prefill_duration: time::Duration,
    /// Whether the workspace has recently used more than its share.
    pub over_share: bool,
}

impl PendingRequest {
    /// Returns the work to place.
    #[must_use]
    pub const fn work(&self) -> work_key::WorkKey {
        work_key::WorkKey {
            request: self.request.request,
            attempt: self.request.attempt,
        }
    }
}
