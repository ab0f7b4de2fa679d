//! Settings of the relay core.

use std::net;

/// Settings of the relay core.
#[derive(Clone, Debug, bon::Builder)]
pub struct CoreSettings {
    /// Address of this instance.
    pub address: net::Ipv4Addr,
    /// Start of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Data centre of this instance.
    pub data_centre: ids::DataCentreName,
    /// Capacity of this instance for forwarding state updates, relative to the others.
    #[builder(default = 1)]
    pub capacity: u32,
    /// Addresses of instances from which the other instances are discovered.
    #[builder(default)]
    pub seeds: Vec<net::Ipv4Addr>,
    /// Whether the site may have workspaces. If not, a configuration whose source doesn't know of
    /// workspaces has none.
    #[builder(default = true)]
    pub may_have_workspaces: bool,
    /// Bound on the retries of each service.
    pub retry_bound: retry::RetryBound,
    /// Seed of the random number generator.
    #[builder(default)]
    pub seed: u64,
}
