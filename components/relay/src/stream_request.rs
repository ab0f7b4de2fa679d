//! Placement request of a generation.

use crate::{backend, engine_pool, engine_usage, software_key, workspace_key};

/// Request for slots on a prefill and a decode engine.
#[derive(Clone, Debug, bon::Builder)]
pub struct StreamRequest {
    /// Service of the engines.
    pub service: ids::ServiceName,
    /// Priority of the workspace or route; 0 is the highest.
    #[builder(default)]
    pub priority: u8,
    /// Workspace that asks.
    #[builder(default)]
    pub workspace: workspace_key::WorkspaceKey,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Limit on the output length in tokens.
    pub output_tokens: u32,
    /// Output length in tokens that the caller expects.
    pub expected_tokens: Option<u32>,
    /// Estimated output length in tokens; set by the core.
    #[builder(default)]
    pub estimated_tokens: u32,
    /// Latest time at which the first token is on time.
    pub first_token_due: clock::Timestamp,
    /// Time at which the request expires in the wait queue.
    pub wait_until: clock::Timestamp,
    /// Whether the caller has already received a part of the answer.
    #[builder(default)]
    pub resumes: bool,
    /// Hash of the last part of the prompt, from [`crate::part_hash`], if the caller may take the stream
    /// up.
    pub part: Option<u64>,
    /// Software version that began the stream; `None` for a new one.
    pub software: Option<software_key::SoftwareKey>,
    /// Prefill engine that has prefilled the prompt before and may still have it in its cache.
    pub warm_prefill: Option<backend::BackendKey>,
    /// What may crash engines: hashes of the prompt's segments, without the last one, and of the whole
    /// request.
    #[builder(default)]
    pub suspects: Vec<u64>,
    /// Engines that are excluded because they failed this request.
    #[builder(default)]
    pub avoid: Vec<backend::BackendKey>,
}

impl StreamRequest {
    /// Returns the engines that may serve the request.
    #[must_use]
    pub const fn pool(&self) -> engine_pool::EnginePool<'_> {
        engine_pool::EnginePool {
            service: &self.service,
            software: self.software,
        }
    }

    /// Returns the load that the request puts on a decode engine at its start.
    #[must_use]
    pub const fn load(&self) -> engine_usage::StreamLoad {
        engine_usage::StreamLoad {
            held: self.prompt_tokens,
            remaining: self.estimated_tokens,
        }
    }

    /// Returns the tokens that count as usage by the workspace: prompt and estimated output.
    #[must_use]
    pub const fn usage_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.estimated_tokens)
    }

    /// Returns the mean memory use of the request over its duration, in tokens.
    #[must_use]
    pub const fn mean_tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.estimated_tokens / 2)
    }
}
