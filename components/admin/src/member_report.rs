//! Instances as one of them sees them.

use std::net;

/// Instances as one of them sees them.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct MembershipReport {
    /// Whether the instance may act on this.
    pub fresh: bool,
    /// Whether too many instances are silent for single failures.
    pub partitioned: bool,
    /// The instances, in the order of their numbers.
    pub members: Vec<MemberReport>,
}

/// One instance as another sees it.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
#[builder(on(String, into))]
pub struct MemberReport {
    /// Number of the instance.
    pub id: ids::InstanceId,
    /// What is believed of it: `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Region the instance stands in.
    pub region: String,
    /// Data centre the instance stands in.
    pub data_centre: String,
    /// Where other instances reach it.
    pub address: net::SocketAddr,
    /// Revision it last told to have in force.
    pub revision: Option<ids::Revision>,
}
