//! How much of a backend server one instance uses.

/// Memory that one stream takes at a decode engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamLoad {
    /// Tokens in memory.
    pub held: u32,
    /// Tokens that are expected to follow.
    pub remaining: u32,
}

impl StreamLoad {
    /// Returns the load after `tokens` more were generated.
    #[must_use]
    pub fn after(self, tokens: u32) -> Self {
        let generated = tokens.min(self.remaining);
        Self {
            held: self.held + generated,
            remaining: self.remaining - generated,
        }
    }
}

/// How much of one backend server or engine an instance uses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineUsage {
    /// Requests under way, those included whose place is reserved.
    pub running: u32,
    /// Prompt tokens that were sent to be read and aren't read yet.
    pub prefill_tokens: u32,
    /// Streams that hold memory, those included whose place is reserved.
    pub streams: Vec<StreamLoad>,
}

impl EngineUsage {
    /// Returns the requests, prompt tokens and streams, without how far the streams have come.
    #[must_use]
    pub fn requests(&self) -> (u32, u32, usize) {
        (self.running, self.prefill_tokens, self.streams.len())
    }

    /// Returns whether nothing is used.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running == 0 && self.prefill_tokens == 0 && self.streams.is_empty()
    }
}
