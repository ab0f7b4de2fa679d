//! Settings of the relay core.

use std::net;

/// Settings of the relay core.
#[derive(Clone, Debug, bon::Builder)]
pub struct CoreSettings {
    /// Address of this instance.
    pub address: net::Ipv4Addr,
    /// Start of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Data centre in which it stands.
    pub data_centre: ids::DataCentreName,
    /// Addresses of instances that may be known to others.
    #[builder(default)]
    pub seeds: Vec<net::Ipv4Addr>,
    /// Bound on repeats of each service.
    pub retry_bound: retry::RetryBound,
    /// Seed of random choices.
    #[builder(default)]
    pub seed: u64,
}
