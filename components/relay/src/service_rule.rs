//! A service of the configuration in force.

use std::time;

/// Sizes of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
pub struct EngineSize {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that an engine's memory holds.
    pub kv_tokens: u32,
    /// Tokens in one event of a stream.
    #[builder(default = 1)]
    pub tokens_per_event: u32,
    /// Time that a prefill result is kept before it is taken.
    pub retention: time::Duration,
}

/// A service of the configuration in force.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServiceRule {
    /// Sizes of the engines, when the service generates tokens.
    pub engine: Option<EngineSize>,
}
