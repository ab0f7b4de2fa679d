//! A request for places at engines.

use std::time;

use crate::backend;

/// A request for a place at a prefill and a decode engine.
#[derive(Clone, Debug, bon::Builder)]
pub struct StreamAsk {
    /// Service that generates.
    pub service: ids::ServiceName,
    /// Rank of the route, 0 first.
    #[builder(default)]
    pub priority: u8,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens that the answer may have.
    pub output_tokens: u32,
    /// Latest moment for a first token that is on time.
    pub first_token_due: clock::Moment,
    /// Latest moment at which the caller waits.
    pub deadline: clock::Moment,
    /// Whether the caller has already received a part of the answer.
    #[builder(default)]
    pub resumes: bool,
    /// Engines that have failed this request.
    #[builder(default)]
    pub avoid: Vec<backend::BackendKey>,
}

impl StreamAsk {
    /// Returns the memory that the request takes at a decode engine, in tokens.
    #[must_use]
    pub const fn kv_tokens(&self) -> u32 {
        self.prompt_tokens + self.output_tokens
    }

    /// Returns the time left until the first token is late.
    #[must_use]
    pub fn slack(&self, now: clock::Moment) -> time::Duration {
        self.first_token_due.since(now)
    }
}
