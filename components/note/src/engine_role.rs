//! Role of an engine.

/// Role of an engine: prefill, decode or either.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
    schemars::JsonSchema,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineRole {
    /// Prefills prompts and exports their KV cache.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Switches between the two roles by demand.
    #[default]
    Flexible,
}
