//! Settings of a class of calls to a plain service.

use crate::route_rule;

/// Settings of a class of calls to a plain service.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct CallClass {
    /// Service the calls go to.
    pub service: ids::ServiceName,
    /// Methods and paths of the class, with whether each may be repeated.
    pub routes: Vec<route_rule::RouteRule>,
    /// Time a call may take, in milliseconds.
    pub timeout_ms: u32,
    /// Priority; higher goes first.
    #[serde(default)]
    pub priority: u8,
}
