//! What instances tell each other.

use std::{net, time};

use crate::engine_usage;

/// What one instance tells the others, in one datagram.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
pub struct InstanceNews {
    /// Address of the instance.
    pub address: net::Ipv4Addr,
    /// Start of the process in milliseconds since the Unix epoch; a later one replaces an earlier.
    pub incarnation: u64,
    /// Counts the datagrams of the process, so that late ones are dropped.
    pub sequence: u64,
    /// Whether the instance is shutting down.
    #[builder(default)]
    pub leaving: bool,
    /// Revision of its view of the platform.
    #[builder(default)]
    pub revision: u64,
    /// Hash of its view, 0 when it has none.
    #[builder(default)]
    pub fingerprint: u64,
    /// Age of its view.
    #[builder(default)]
    pub view_age: time::Duration,
    /// What it uses, by [`server_hash`] of the backend server.
    #[builder(default)]
    pub usage: Vec<(u64, engine_usage::EngineUsage)>,
    /// Addresses of the other instances that it has heard of lately.
    #[builder(default)]
    pub known: Vec<net::Ipv4Addr>,
}

/// Returns the short form of a backend server's name in news.
#[must_use]
pub fn server_hash(server: &ids::ServerName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(server.as_str().as_bytes())
}
