//! A plain service.

/// A plain service that calls are routed to.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ids::ServiceName,
    /// Path prefix that selects the service, such as `/orders`.
    #[serde(default)]
    pub path_prefix: Option<String>,
    /// Host name that selects the service.
    #[serde(default)]
    pub host: Option<String>,
}
