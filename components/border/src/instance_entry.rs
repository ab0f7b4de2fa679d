//! An instance in the platform's list.

/// An instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
#[builder(on(_, into))]
pub struct InstanceEntry {
    /// Number of the instance.
    pub id: ids::InstanceId,
    /// Address other instances reach it at.
    pub address: std::net::SocketAddr,
    /// Region the instance stands in.
    pub region: ids::RegionName,
    /// Data centre the instance stands in.
    pub data_centre: ids::DataCentreName,
    /// Whether the instance is leaving.
    #[serde(default)]
    #[builder(default)]
    pub leaving: bool,
}
