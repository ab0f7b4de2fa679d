//! How an instance shuts down.

/// How an instance shuts down.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// Time given to requests in flight after a request to shut down, in milliseconds; what is
    /// left after it is cut off.
    pub timeout_ms: u64,
}

/// Time given to requests in flight unless the settings say otherwise, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 600_000;

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            timeout_ms: DRAIN_TIMEOUT_MS,
        }
    }
}
