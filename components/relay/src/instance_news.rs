//! What instances tell each other.

use std::{net, time};

use crate::{engine_usage, list_delta, wait_news};

/// What one instance tells the others, in one datagram.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
pub struct InstanceUpdate {
    /// Address of the instance.
    pub address: net::Ipv4Addr,
    /// Start of the process in milliseconds since the Unix epoch; a later one replaces an earlier.
    pub incarnation: u64,
    /// Counts the datagrams of the process, so that late ones are dropped.
    pub sequence: u64,
    /// Whether only changes since the news before are told: of `usage`, `waiting` and `retries`.
    #[builder(default)]
    pub partial: bool,
    /// Whether the instance is shutting down.
    #[builder(default)]
    pub leaving: bool,
    /// Revision of its view of the platform.
    #[builder(default)]
    pub revision: u64,
    /// Hash of its view, 0 when it has none.
    #[builder(default)]
    pub fingerprint: u64,
    /// What it has lately read to be changed in the platform's list.
    pub delta: Option<list_delta::ListDelta>,
    /// Time since it read the platform's store itself.
    #[builder(default)]
    pub view_age: time::Duration,
    /// What it uses, by [`server_hash`] of the backend server; partial news name those of which it
    /// uses nothing any more, too.
    #[builder(default)]
    pub usage: Vec<(u64, engine_usage::EngineUsage)>,
    /// Its requests that wait for a place, those first that go first.
    #[builder(default)]
    pub waiting: Vec<wait_news::QueueUpdate>,
    /// Its requests and repeats in the window of the bound, by [`service_hash`]; none in partial news
    /// when nothing was repeated.
    #[builder(default)]
    pub retries: Vec<(u64, retry::RetryCount)>,
    /// Time over which these counts reach back, at most the window.
    #[builder(default)]
    pub count_window: time::Duration,
    /// Fencing number of its last order to an engine, 0 when it has given none.
    #[builder(default)]
    pub last_fence: u64,
    /// Time since that order.
    #[builder(default)]
    pub last_order_age: time::Duration,
    /// Engines that no instance is to send anything, by [`server_hash`]: those that it has ordered
    /// to change stage, and those whose prefill results it has found gone.
    #[builder(default)]
    pub paused: Vec<u64>,
    /// Addresses of the other instances that it has heard of lately.
    #[builder(default)]
    pub known: Vec<net::Ipv4Addr>,
}

/// Returns the short form of a backend server's name in news.
#[must_use]
pub fn server_hash(server: &ids::ServerName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(server.as_str().as_bytes())
}

/// Returns the short form of a service's name in news.
#[must_use]
pub fn service_hash(service: &ids::ServiceName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(service.as_str().as_bytes())
}
