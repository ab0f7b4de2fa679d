//! An ask that waits for its placement.

use std::time;

use crate::{place_ask, work_key};

/// An ask that waits for its placement.
#[derive(Clone, Debug, bon::Builder)]
pub struct PendingAsk {
    /// Instance that asked.
    pub from: ids::InstanceId,
    /// What it asked.
    pub ask: place_ask::PlaceAsk,
    /// Time by which the first token is due.
    pub deadline: clock::Timestamp,
    /// Target for the time between tokens, in milliseconds.
    pub pace_ms: u32,
    /// Priority; higher goes first.
    pub priority: u8,
    /// Pieces of engine memory that the request needs while it is decoded.
    pub kv_pieces: u32,
    /// Time that prefill takes at the best engine.
    pub prefill_span: time::Duration,
    /// Whether the workspace has had more than its share lately.
    pub over_share: bool,
}

impl PendingAsk {
    /// Returns the work that is asked for.
    #[must_use]
    pub const fn work(&self) -> work_key::WorkKey {
        work_key::WorkKey {
            request: self.ask.request,
            attempt: self.ask.attempt,
        }
    }
}
