//! Longest waits for others.

/// Longest waits for engines, each in milliseconds; those for backend servers are in the release
/// notes.
#[derive(
    Clone,
    Debug,
    Eq,
    PartialEq,
    bon::Builder,
    serde::Deserialize,
    serde::Serialize,
    schemars::JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct StageTimeouts {
    /// Time to open a connection, in milliseconds.
    #[builder(default = 500)]
    pub connect_ms: u64,
    /// Time for an engine to read a prompt, in milliseconds.
    #[builder(default = 30_000)]
    pub prefill_ms: u64,
    /// Time to move a KV cache between engines, in milliseconds.
    #[builder(default = 2_000)]
    pub transfer_ms: u64,
    /// Time between two tokens after which a stream counts as lost, in milliseconds.
    #[builder(default = 2_000)]
    pub token_gap_ms: u64,
    /// Time for an engine to answer a cancel, an order or a reading, in milliseconds.
    #[builder(default = 1_000)]
    pub engine_reading_ms: u64,
}

impl Default for StageTimeouts {
    fn default() -> Self {
        Self::builder().build()
    }
}
