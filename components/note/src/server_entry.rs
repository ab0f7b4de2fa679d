//! A backend server of a plain service.

/// A backend server of a plain service.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// Name, unique among backend servers.
    pub name: ids::ServerName,
    /// Service the server belongs to.
    pub service: ids::ServiceName,
    /// Socket address of the server's HTTP interface.
    pub address: std::net::SocketAddr,
    /// Region the server stands in.
    pub region: ids::RegionName,
    /// Data centre the server stands in.
    pub data_centre: ids::DataCentreName,
    /// Number of calls the server takes at once.
    pub concurrency: u32,
    /// Whether the server is to receive no new work.
    #[serde(default)]
    pub leaving: bool,
}
