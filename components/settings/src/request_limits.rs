//! Bounds on what callers may send.

/// Bounds on what callers may send; a request beyond one is refused with a status of 4xx or 503.
#[derive(
    Clone,
    Debug,
    Eq,
    PartialEq,
    bon::Builder,
    serde::Deserialize,
    serde::Serialize,
    schemars::JsonSchema,
)]
#[serde(default, deny_unknown_fields)]
pub struct RequestLimits {
    /// Largest body, in bytes.
    #[builder(default = 4 * 1_024 * 1_024)]
    pub body_bytes: usize,
    /// Largest sum of all bodies that are held at once, in bytes.
    #[builder(default = 256 * 1_024 * 1_024)]
    pub held_bytes: usize,
    /// Largest sum of header names and values of one request, in bytes.
    #[builder(default = 16 * 1_024)]
    pub header_bytes: usize,
    /// Largest number of header fields of one request.
    #[builder(default = 64)]
    pub header_count: usize,
    /// Time within which the header must be complete, in milliseconds.
    #[builder(default = 5_000)]
    pub header_timeout_ms: u64,
    /// Time within which the body must be complete, in milliseconds.
    #[builder(default = 10_000)]
    pub body_timeout_ms: u64,
    /// Largest output a caller may ask for, in tokens.
    #[builder(default = 8_192)]
    pub max_tokens: u32,
    /// Largest prompt, in tokens.
    #[builder(default = 131_072)]
    pub prompt_tokens: u32,
    /// Largest number of requests and calls in flight at once.
    #[builder(default = 4_096)]
    pub in_flight_requests: usize,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self::builder().build()
    }
}
