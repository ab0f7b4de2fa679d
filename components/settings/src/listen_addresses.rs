//! Addresses an instance listens on.

use std::net;

/// Addresses an instance listens on; port 0 takes any free port.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// IP address and port for callers.
    pub callers: net::SocketAddr,
    /// IP address and port for other instances.
    pub peers: net::SocketAddr,
    /// IP address and port for operators: reading back what is in force, and metrics.
    pub admin: net::SocketAddr,
}
