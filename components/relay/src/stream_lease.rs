//! A reserved place at a pair of engines.

use crate::{backend, stream_ask};

slotmap::new_key_type! {
    /// Names a reserved place.
    pub struct StreamKey;
}

/// A reserved place at a pair of engines.
#[derive(Clone, Debug)]
pub struct StreamLease {
    /// Engine that reads the prompt; `None` when the decode engine reads it itself.
    pub prefill: Option<backend::BackendKey>,
    /// Engine that generates.
    pub decode: backend::BackendKey,
    /// What was asked for.
    pub ask: stream_ask::StreamRequest,
    /// Moment at which the place was granted.
    pub granted_at: clock::Timestamp,
    /// Prompt tokens that were waiting at the prefill engine when the place was granted.
    pub tokens_ahead: u32,
    /// Tokens generated so far.
    pub generated: u32,
    /// Moment of the first token.
    pub first_token_at: Option<clock::Timestamp>,
    /// Whether the prompt is still to be read by the prefill engine.
    pub prefilling: bool,
}
