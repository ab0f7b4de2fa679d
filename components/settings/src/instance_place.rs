//! Which instance this is and where it stands.

/// Which instance this is and where it stands.
#[derive(
    Clone,
    Debug,
    Eq,
    PartialEq,
    bon::Builder,
    serde::Deserialize,
    serde::Serialize,
    schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
#[builder(on(_, into))]
pub struct InstancePlace {
    /// Number of the instance, as the platform's instance list gives it; above 0.
    pub id: ids::InstanceId,
    /// Region the instance stands in.
    pub region: ids::RegionName,
    /// Data centre the instance stands in.
    pub data_centre: ids::DataCentreName,
    /// IP address and port at which other instances reach this one.
    pub peer_address: std::net::SocketAddr,
}
