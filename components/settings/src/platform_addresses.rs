//! Addresses of the platform's services.

use std::net;

/// Addresses of the platform's services.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct PlatformAddresses {
    /// IP address and port of the configuration service, which serves the release notes.
    pub configuration_service: net::SocketAddr,
    /// IP address and port of the list of live and leaving instances.
    pub instance_list: net::SocketAddr,
    /// IP address and port of the weight store; without it, orders to load models are not paced by
    /// its limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight_store: Option<net::SocketAddr>,
}
