//! Method and path of a call.

/// A method and path prefix of a call, with whether the call may be retried.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix, relative to the path prefix of the service.
    pub path: String,
    /// Whether a call is idempotent, so that it may be retried.
    pub idempotent: bool,
}
