//! Settings of a request class for calls to a plain service.

use crate::route_rule;

/// Settings of a request class for calls to a plain service.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct CallClass {
    /// Service that the calls are routed to.
    pub service: ids::ServiceName,
    /// Methods and paths of the class, each with whether its calls may be retried.
    pub routes: Vec<route_rule::RouteRule>,
    /// Timeout of a call, in milliseconds.
    pub timeout_ms: u32,
    /// Priority; a higher value is served first.
    #[serde(default)]
    pub priority: u8,
}
