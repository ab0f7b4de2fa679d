//! How much of a backend server one instance uses.

/// How much of one backend server or engine an instance uses.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct EngineUsage {
    /// Requests under way, those included whose place is reserved.
    pub running: u32,
    /// Tokens of memory reserved for them.
    pub kv_tokens: u32,
    /// Prompt tokens that were sent to be read and aren't read yet.
    pub prefill_tokens: u32,
}

impl EngineUsage {
    /// Returns whether nothing is used.
    #[must_use]
    pub fn is_idle(self) -> bool {
        self == Self::default()
    }

    /// Adds the usage of another instance.
    pub fn add(&mut self, other: Self) {
        self.running += other.running;
        self.kv_tokens += other.kv_tokens;
        self.prefill_tokens += other.prefill_tokens;
    }
}
