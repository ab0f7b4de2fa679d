//! The result of a prefill.

/// The result of a prefill: a KV cache that waits to be exported.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct PrefillResult {
    /// Names the KV cache at its engine.
    pub kv_handle: u64,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens that came from the engine's prefix cache.
    pub cached_tokens: u32,
    /// Time the engine keeps the result, in milliseconds.
    pub retention_ms: u32,
}
