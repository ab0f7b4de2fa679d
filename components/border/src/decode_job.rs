//! Generation of tokens from an imported KV cache.

/// Asks an engine to generate tokens, from an offset on.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
pub struct DecodeJob {
    /// Request the work belongs to.
    pub request: ids::RequestId,
    /// Attempt the work belongs to.
    pub attempt: ids::AttemptNumber,
    /// Largest number of tokens of the whole answer, counted from offset zero.
    pub max_tokens: u32,
    /// First token wanted; a resumed stream starts behind what was delivered.
    pub offset: u32,
    /// Priority; higher goes first.
    pub priority: u8,
}
