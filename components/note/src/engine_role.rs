//! The role of an engine.

/// What an engine is used for.
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
    /// Reads prompts and hands their KV cache on.
    Prefill,
    /// Generates tokens from an imported KV cache.
    Decode,
    /// Takes whichever of the two roles demand asks for.
    #[default]
    Flexible,
}
