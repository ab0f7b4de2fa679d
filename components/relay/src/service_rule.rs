//! Service of the configuration in force.

use std::time;

/// Capacity of one engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
pub struct EngineSize {
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache in tokens.
    pub kv_tokens: u32,
    /// Number of tokens in one event of a stream.
    #[builder(default = 1)]
    pub tokens_per_event: u32,
    /// Time for which an untransferred prefill result is kept.
    pub retention: time::Duration,
}

/// Service of the configuration in force.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServiceRule {
    /// Capacity of an engine, for a service that generates tokens; `None` for a plain service.
    pub engine: Option<EngineSize>,
    /// Path of the health check of the service's servers.
    #[serde(default)]
    pub health_path: Option<String>,
}
