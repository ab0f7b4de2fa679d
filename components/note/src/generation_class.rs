//! Settings of a request class for model requests.

/// Settings of a request class for model requests.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct GenerationClass {
    /// Models the class applies to.
    pub models: Vec<ids::ModelName>,
    /// Target for the time to first token, from the arrival of the request, in milliseconds.
    pub first_token_ms: u32,
    /// Target for the mean time between tokens, in milliseconds.
    pub token_pace_ms: u32,
    /// Priority; a higher value is served first.
    #[serde(default)]
    pub priority: u8,
    /// Initial estimate of the output length, in tokens.
    pub expected_output_tokens: u32,
    /// Maximum output length that a caller may request, in tokens.
    pub output_limit_tokens: u32,
    /// Time that a request may wait for admission beyond its first-token target, in milliseconds.
    #[serde(default)]
    pub can_wait_ms: u32,
}
