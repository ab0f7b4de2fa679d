//! Usage of a backend server by one instance.

/// Memory of a decode engine that one stream uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamLoad {
    /// Tokens in the KV cache.
    pub held: u32,
    /// Output tokens that are still expected.
    pub remaining: u32,
}

impl StreamLoad {
    /// Returns the load after the generation of `tokens` further tokens.
    #[must_use]
    pub fn after(self, tokens: u32) -> Self {
        let generated = tokens.min(self.remaining);
        Self {
            held: self.held + generated,
            remaining: self.remaining - generated,
        }
    }
}

/// Usage of one backend server or engine by an instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineUsage {
    /// Running requests, including those with a reserved slot.
    pub running: u32,
    /// Prompt tokens that are queued for prefill.
    pub prefill_tokens: u32,
    /// Streams that occupy memory, including those with a reserved slot.
    pub streams: Vec<StreamLoad>,
}

impl EngineUsage {
    /// Returns the numbers of requests, prompt tokens and streams, without the streams' progress.
    #[must_use]
    pub fn counts(&self) -> (u32, u32, usize) {
        (self.running, self.prefill_tokens, self.streams.len())
    }

    /// Returns whether the instance has no work on the server.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.prefill_tokens == 0 && self.streams.is_empty()
    }
}
