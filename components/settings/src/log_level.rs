//! Severity of log lines.

/// Severity of log lines, most severe first.
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
pub enum LogLevel {
    /// Something that needs an operator.
    Error,
    /// Something that may need an operator if it goes on.
    Warn,
    /// Changes of state: what came into force, who joined and left.
    #[default]
    Info,
    /// Each request.
    Debug,
    /// Each message.
    Trace,
}
