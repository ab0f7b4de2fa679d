//! What an engine does for a request.

/// What an engine does for a request.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RunningPhase {
    /// Waits for prefill.
    Queued,
    /// Reads the prompt.
    Prefill,
    /// Keeps a prefill result until somebody imports it.
    Retained,
    /// Imports a KV cache.
    Import,
    /// Generates tokens.
    Decode,
}
