//! A request for places at engines.

use crate::{backend, engine_usage};

/// A request for a place at a prefill and a decode engine.
#[derive(Clone, Debug, bon::Builder)]
pub struct StreamRequest {
    /// Service that generates.
    pub service: ids::ServiceName,
    /// Rank of the route, 0 first.
    #[builder(default)]
    pub priority: u8,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens that the answer may have.
    pub output_tokens: u32,
    /// Tokens that the caller expects.
    pub expected_tokens: Option<u32>,
    /// Tokens that the answer is taken to have; set by the core.
    #[builder(default)]
    pub guessed_tokens: u32,
    /// Latest moment for a first token that is on time.
    pub first_token_due: clock::Timestamp,
    /// Latest moment at which the request may wait for a place.
    pub wait_until: clock::Timestamp,
    /// Whether the caller has already received a part of the answer.
    #[builder(default)]
    pub resumes: bool,
    /// Prefill engine that has read the prompt already and may still have it in its cache.
    pub warm_prefill: Option<backend::BackendKey>,
    /// Engines that have failed this request.
    #[builder(default)]
    pub avoid: Vec<backend::BackendKey>,
}

impl StreamRequest {
    /// Returns what the request takes of a decode engine's memory when it starts there.
    #[must_use]
    pub const fn load(&self) -> engine_usage::StreamLoad {
        engine_usage::StreamLoad {
            held: self.prompt_tokens,
            remaining: self.guessed_tokens,
        }
    }

    /// Returns the memory that the request takes on average, in tokens.
    #[must_use]
    pub const fn mean_tokens(&self) -> u32 {
        self.prompt_tokens + self.guessed_tokens / 2
    }
}
