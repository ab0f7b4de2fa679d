//! A request that is passed on unchanged.

use std::time;

/// Sizes of a generation, which the caller names beside the body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GenerationSize {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Tokens of the answer as the caller expects them; often far off.
    pub expected_tokens: Option<u32>,
}

/// A request that is passed on unchanged.
#[derive(Clone, Debug, bon::Builder)]
pub struct RelayRequest {
    /// Name that the caller gave this attempt.
    pub id: String,
    /// Method.
    pub method: http::Method,
    /// Path and query as the caller wrote them.
    pub target: String,
    /// Host that the caller named.
    pub host: String,
    /// Header fields that concern both ends, none of the system's own.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
    /// Time that the caller waits, from its arrival.
    pub time_left: time::Duration,
    /// Sizes, when it is a generation.
    pub size: Option<GenerationSize>,
    /// Last event that the caller has received of an earlier attempt.
    pub resume_after: Option<u64>,
}

impl RelayRequest {
    /// Returns the host without a port.
    #[must_use]
    pub fn host_name(&self) -> &str {
        self.host.split(':').next().unwrap_or_default()
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}
