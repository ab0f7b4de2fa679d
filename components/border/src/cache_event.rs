//! A change of an engine's prefix cache.

/// A change of an engine's prefix cache; events are late and some are missing.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct CacheEvent {
    /// Number of the event at its engine; a step above one is a gap.
    pub sequence: u64,
    /// Age of the event, in milliseconds.
    pub age_ms: u32,
    /// Hash of the prefix block.
    pub block: u64,
    /// Whether the block was stored, as against evicted.
    pub stored: bool,
}
