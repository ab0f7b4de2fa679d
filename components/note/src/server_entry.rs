//! A backend server of a plain service.

/// A backend server of a plain service.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// Name, unique among backend servers.
    pub name: ids::ServerName,
    /// Service that the server belongs to.
    pub service: ids::ServiceName,
    /// Socket address of the server's HTTP interface.
    pub address: std::net::SocketAddr,
    /// Region of the server.
    pub region: ids::RegionName,
    /// Data centre of the server.
    pub data_centre: ids::DataCentreName,
    /// Maximum number of concurrent calls to the server.
    pub concurrency: u32,
    /// Whether the server is draining and receives no new work.
    #[serde(default)]
    pub leaving: bool,
}
