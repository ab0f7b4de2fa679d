//! What is logged, and how.

use crate::{log_format, log_level};

/// What is logged, and how.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    PartialEq,
    serde::Deserialize,
    serde::Serialize,
    schemars::JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: log_level::LogLevel,
    /// Format of the lines: `text` or `json`.
    pub format: log_format::LogFormat,
}
