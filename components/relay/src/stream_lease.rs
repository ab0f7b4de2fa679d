//! Reserved slots of a generation.

use crate::{backend, software_key, stream_request};

slotmap::new_key_type! {
    /// Key of a lease.
    pub struct StreamKey;
}

/// Reserved slots of a generation on a pair of engines.
#[derive(Clone, Debug)]
pub struct StreamLease {
    /// Prefill engine; `None` when the decode engine prefills the prompt itself.
    pub prefill: Option<backend::BackendKey>,
    /// Decode engine.
    pub decode: backend::BackendKey,
    /// Software version of both engines.
    pub software: software_key::SoftwareKey,
    /// Request that was placed.
    pub request: stream_request::StreamRequest,
    /// Time of the reservation.
    pub reserved_at: clock::Timestamp,
    /// Prompt tokens that were queued at the prefill engine at the time of the reservation.
    pub tokens_ahead: u32,
    /// Tokens generated so far.
    pub generated: u32,
    /// Time at which the prefill ended.
    pub prefilled_at: Option<clock::Timestamp>,
    /// Time at which the first event was expected when the slot was reserved.
    pub first_event_expected_at: clock::Timestamp,
    /// Time of the first token.
    pub first_token_at: Option<clock::Timestamp>,
    /// Whether the prefill is still pending.
    pub prefilling: bool,
}

impl StreamLease {
    /// Returns the request, bound to the software version of the prefill result.
    #[must_use]
    pub fn bound_request(&self) -> stream_request::StreamRequest {
        stream_request::StreamRequest {
            software: Some(self.software),
            ..self.request.clone()
        }
    }
}
