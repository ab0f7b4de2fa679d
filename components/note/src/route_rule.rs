//! A method and path of a call.

/// A method and path prefix of a call, with whether the call may be repeated.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// HTTP method in capitals.
    pub method: String,
    /// Path prefix below the service's own prefix.
    pub path: String,
    /// Whether a call may run more than once without harm.
    pub idempotent: bool,
}
