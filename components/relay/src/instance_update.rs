//! State update that instances send each other.

use std::{net, time};

use crate::{
    backend_entry, crash_notice, engine_usage, known_instance, limit_report, list_delta,
    origin_report, queue_update, search_notice, service_estimate, share_report, spend_report,
    view_announcement, view_position,
};

/// State update of one instance, sent to the others in one datagram.
#[derive(Clone, Debug, PartialEq, bon::Builder)]
pub struct InstanceUpdate {
    /// Address of the sender.
    pub address: net::Ipv4Addr,
    /// Start of the process in milliseconds since the Unix epoch. A later incarnation replaces an
    /// earlier one.
    pub incarnation: u64,
    /// Sequence number among the datagrams of the process, by which late ones are dropped.
    pub sequence: u64,
    /// Whether this is a partial update, which contains only `usage` that has changed since the
    /// previous update, `waiting`, new `origins` and, if changed, `limits`, `shares` and `retries`.
    #[builder(default)]
    pub partial: bool,
    /// Whether the sender is draining.
    #[builder(default)]
    pub leaving: bool,
    /// Position of the sender's view in the history of the platform's store.
    #[builder(default)]
    pub position: view_position::ViewPosition,
    /// Version of the sender's configuration, 0 if unknown.
    #[builder(default)]
    pub config_version: u64,
    /// Fingerprint of the sender's view, 0 without a view.
    #[builder(default)]
    pub fingerprint: u64,
    /// Recent change of the platform's list that the sender has read from the store.
    pub delta: Option<list_delta::ListDelta>,
    /// Time since the sender's own last read of the platform's store.
    #[builder(default)]
    pub view_age: time::Duration,
    /// Usage by the sender, keyed by [`server_hash`]. A partial update also lists servers that
    /// became idle.
    #[builder(default)]
    pub usage: Vec<(u64, engine_usage::EngineUsage)>,
    /// First waiting requests of the sender, in queue order.
    #[builder(default)]
    pub waiting: Vec<queue_update::QueueUpdate>,
    /// Requests and retries of the sender in the window of the retry bound, keyed by
    /// [`service_hash`]. A partial update without further retries omits them.
    #[builder(default)]
    pub retries: Vec<(u64, retry::RetryCount)>,
    /// Time covered by the counts in `retries`, at most the window of the retry bound.
    #[builder(default)]
    pub count_window: time::Duration,
    /// Fencing number of the sender's last order to an engine, 0 without an order.
    #[builder(default)]
    pub last_fence: u64,
    /// Time since the sender's last order to an engine.
    #[builder(default)]
    pub last_order_age: time::Duration,
    /// Engines that are paused for all instances, by [`server_hash`]: those that the sender has
    /// ordered to change stage, and those that lost prefill results.
    #[builder(default)]
    pub paused: Vec<u64>,
    /// Servers that have reported in an answer that they are draining and that the platform's list
    /// doesn't show as draining, by [`incarnation_hash`].
    #[builder(default)]
    pub draining: Vec<u64>,
    /// Servers to which the sender can't open connections, by [`incarnation_hash`].
    #[builder(default)]
    pub unreachable: Vec<u64>,
    /// Services of which the sender has lost most servers, by [`service_hash`], while others may reach
    /// them. Partial updates omit them.
    #[builder(default)]
    pub out_of_reach: Vec<u64>,
    /// What the sender knows of requests that crash servers. Partial updates omit it.
    #[builder(default)]
    pub crashes: crash_notice::CrashNotice,
    /// Rate limits of servers and the sender's requests there. Partial updates contain those that have
    /// changed.
    #[builder(default)]
    pub limits: Vec<limit_report::LimitReport>,
    /// What the sender has drawn on the limits of workspaces. Partial updates contain those that have
    /// changed, full ones also some of the others.
    #[builder(default)]
    pub spending: Vec<spend_report::SpendReport>,
    /// Whether the sender knows what the fleet has drawn on the limits of workspaces.
    #[builder(default)]
    pub knows_spending: bool,
    /// Software versions that began streams, of those that the sender tells of now.
    #[builder(default)]
    pub origins: Vec<origin_report::OriginReport>,
    /// Usage of services by workspaces at the sender. Partial updates contain what has grown.
    #[builder(default)]
    pub shares: Vec<share_report::ShareReport>,
    /// Whether the sender orders waiting requests by the shares of their workspaces. Partial updates omit
    /// it.
    #[builder(default)]
    pub orders_by_share: bool,
    /// Whether the sender tells of the prompts of its streams, and reads without a prefill engine those of
    /// streams that began at another software version. Partial updates omit it.
    #[builder(default)]
    pub tells_prompts: bool,
    /// Whether the sender reads prompts without a prefill engine as long as it doesn't know those that were
    /// sent before it started. Partial updates omit it.
    #[builder(default)]
    pub marks_after_start: bool,
    /// What the sender tells about streams whose software version no instance knows.
    #[builder(default)]
    pub search: search_notice::SearchNotice,
    /// Estimates from the sender's streams, keyed by [`service_hash`]. Most updates omit them.
    #[builder(default)]
    pub estimates: Vec<(u64, service_estimate::ServiceEstimate)>,
    /// Hash of the sender's data centre from [`crate::data_centre_hash`], 0 if unknown. Partial
    /// updates omit it.
    #[builder(default)]
    pub data_centre: u32,
    /// The sender's capacity for forwarding. Partial updates omit it.
    #[builder(default)]
    pub capacity: u32,
    /// Whether the sender looks for the other instances of a large fleet.
    #[builder(default)]
    pub discovering: bool,
    /// Other instances that the sender considers alive. Most updates in a large fleet omit them.
    #[builder(default)]
    pub known: Vec<known_instance::KnownInstance>,
}

impl InstanceUpdate {
    /// Returns whether the update contains no changes, apart from waiting requests that are no
    /// longer listed.
    #[must_use]
    pub const fn is_heartbeat(&self) -> bool {
        self.partial
            && self.search.is_empty()
            && self.usage.is_empty()
            && self.waiting.is_empty()
            && self.retries.is_empty()
            && self.limits.is_empty()
            && self.spending.is_empty()
            && self.shares.is_empty()
            && self.origins.is_empty()
    }

    /// Returns the announcement of the sender's view.
    #[must_use]
    pub const fn announcement(&self) -> view_announcement::ViewAnnouncement {
        view_announcement::ViewAnnouncement {
            position: self.position,
            fingerprint: self.fingerprint,
            config_version: self.config_version,
            age: self.view_age,
        }
    }
}

/// Returns the hash that identifies a backend server in state updates.
#[must_use]
pub fn server_hash(server: &ids::ServerName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(server.as_str().as_bytes())
}

/// Returns the hash that identifies an incarnation of a backend server in state updates.
#[must_use]
pub fn incarnation_hash(entry: &backend_entry::BackendEntry) -> u64 {
    let name = entry.server.as_str().as_bytes();
    xxhash_rust::xxh3::xxh3_64_with_seed(name, entry.born_millis)
}

/// Returns the hash that identifies a service in state updates.
#[must_use]
pub fn service_hash(service: &ids::ServiceName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(service.as_str().as_bytes())
}
