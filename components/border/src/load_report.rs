//! A load report of an engine.

/// A load report of an engine; it describes the past.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LoadReport {
    /// Age of the figures, in milliseconds.
    pub age_ms: u32,
    /// Requests being decoded.
    pub decoding: u32,
    /// Pieces of engine memory held.
    pub kv_pieces_held: u32,
    /// Prompt tokens waiting for prefill.
    pub queued_prompt_tokens: u64,
}
