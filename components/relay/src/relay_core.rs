//! Decisions about relayed requests, without I/O: time and random seed are inputs.

mod core_calls;
mod core_contact;
mod core_drain;
mod core_estimates;
mod core_keys;
mod core_limits;
mod core_notices;
mod core_orders;
mod core_prompts;
mod core_quarantine;
mod core_queue;
mod core_reach;
mod core_refusals;
mod core_routes;
mod core_search;
mod core_shares;
mod core_software;
mod core_streams;
mod core_updates;
mod core_views;
mod core_workspaces;

use std::{collections, net, sync};

use rand::SeedableRng as _;

use crate::{
    backend, backend_registry, core_settings, crash_quarantine, drain_plan, fleet_topology,
    instance_registry, key_judge, known_instance, limit_registry, order_gate, origin_registry,
    prompt_registry, route_rule, search_schedule, sent_state, service_estimate, share_registry,
    site_config, software_history, software_key, spending_knowledge, stage_planner, stream_lease,
    stream_lifetime, view_tracker, wait_queue, workspace_limits,
};

pub use core_calls::ServerSelection;
pub use core_drain::DRAIN_REFUSAL;
pub use core_orders::StageOrder;
pub use core_queue::PlacementOutcome;
pub use core_reach::ServerProbe;
pub use core_software::{StreamQuery, StreamSoftware};
pub use core_streams::{MovedStream, StreamCompletion, StreamPlacement};
pub use core_workspaces::WorkspaceSpending;

/// Result of matching a request against the routes.
#[derive(Clone, Debug)]
pub enum RouteMatch {
    /// No configuration has been received.
    NoConfig,
    /// No route of the configuration in force matches.
    NoRoute {
        /// Version of the configuration.
        version: u64,
    },
    /// A route matches.
    Found {
        /// Version of the configuration.
        version: u64,
        /// Matched route.
        route: route_rule::RouteRule,
        /// Service that receives the request.
        service: ids::ServiceName,
        /// How the request is admitted.
        admission: key_judge::Admission,
    },
    /// A route matches, but doesn't admit the request.
    KeyRefused {
        /// Version of the configuration.
        version: u64,
        /// Name of the route.
        route: String,
        /// Why the request isn't admitted.
        refusal: key_judge::KeyRefusal,
    },
}

/// Number of instances of which each may send a retry at the same time.
const SMALL_FLEET_INSTANCES: f64 = 24.0;

/// Share of the instances of a large fleet that send a retry at the same time.
const CONCURRENT_SHARE: f64 = 0.25;

/// Makes the decisions about relayed requests.
pub struct RelayCore {
    settings: core_settings::CoreSettings,
    tracker: view_tracker::ViewTracker,
    instances: instance_registry::InstanceRegistry,
    backends: backend_registry::BackendRegistry,
    leases: slotmap::SlotMap<stream_lease::StreamKey, stream_lease::StreamLease>,
    queue: wait_queue::WaitQueue,
    windows: collections::BTreeMap<ids::ServiceName, retry::RetryWindow>,
    /// Estimates from the streams of this instance.
    estimates: collections::BTreeMap<ids::ServiceName, service_estimate::ServiceEstimate>,
    /// Estimates from the streams of all instances.
    combined_estimates: collections::BTreeMap<ids::ServiceName, service_estimate::ServiceEstimate>,
    /// Time at which `combined_estimates` were computed.
    estimates_combined_at: Option<clock::Timestamp>,
    order_gate: order_gate::OrderGate,
    planners: collections::BTreeMap<software_key::SoftwareKey, stage_planner::StagePlanner>,
    quarantine: crash_quarantine::CrashQuarantine,
    limits: limit_registry::LimitRegistry,
    workspace_limits: workspace_limits::WorkspaceLimits,
    spending_knowledge: spending_knowledge::SpendingKnowledge,
    /// Usage of engines by workspaces.
    shares: share_registry::ShareRegistry,
    origins: origin_registry::OriginRegistry,
    prompts: prompt_registry::PromptRegistry,
    software_history: software_history::SoftwareHistory,
    lifetimes: stream_lifetime::StreamLifetimes,
    searches: search_schedule::SearchSchedule,
    /// Whether this process has decided whether to seek the streams of all engines.
    has_sought_after_start: bool,
    /// Requests of this instance that other instances serve, by instance.
    proxied: collections::BTreeMap<net::Ipv4Addr, u32>,
    /// Time and fencing number of this instance's last order.
    last_order: Option<(clock::Timestamp, u64)>,
    /// Lower bound of the next fencing number.
    fence_floor: u64,
    /// Seed of the next selection of engines.
    selection_seed: u64,
    random: rand_chacha::ChaCha8Rng,
    update_sequence: u64,
    /// Number of full updates sent.
    full_updates: u64,
    sent_state: sent_state::SentState,
    /// Time at which the usage by the other instances was last computed.
    usage_refreshed_at: clock::Timestamp,
    /// Whether a state update was received after `usage_refreshed_at`.
    usage_stale: bool,
    /// Times of the planned stop that this instance has begun.
    drain_plan: Option<drain_plan::DrainPlan>,
    /// Hash of the name of this instance's data centre.
    data_centre_hash: u32,
    topology: fleet_topology::FleetTopology,
    /// Time at which `topology` was computed.
    topology_at: Option<clock::Timestamp>,
    /// Time of the last datagram from a forwarder, at first the start of the process.
    forwarded_at: clock::Timestamp,
    /// Whether a forwarder has ever sent a datagram.
    has_been_forwarded: bool,
    /// Time of the last update to the seeds.
    seeds_updated_at: clock::Timestamp,
    pauses: core_contact::ProcessPauses,
}

impl RelayCore {
    /// Creates a core without a view of the platform.
    #[must_use]
    pub fn new(settings: core_settings::CoreSettings) -> Self {
        let random = rand_chacha::ChaCha8Rng::seed_from_u64(settings.seed);
        let selection_seed = settings.seed;
        let data_centre_hash = known_instance::data_centre_hash(&settings.data_centre);
        let instances =
            instance_registry::InstanceRegistry::new(settings.address, settings.seeds.clone());
        Self {
            settings,
            tracker: view_tracker::ViewTracker::default(),
            instances,
            backends: backend_registry::BackendRegistry::default(),
            leases: slotmap::SlotMap::with_key(),
            queue: wait_queue::WaitQueue::default(),
            windows: collections::BTreeMap::new(),
            estimates: collections::BTreeMap::new(),
            combined_estimates: collections::BTreeMap::new(),
            estimates_combined_at: None,
            order_gate: order_gate::OrderGate::default(),
            planners: collections::BTreeMap::new(),
            quarantine: crash_quarantine::CrashQuarantine::new(selection_seed),
            limits: limit_registry::LimitRegistry::default(),
            workspace_limits: workspace_limits::WorkspaceLimits::default(),
            spending_knowledge: spending_knowledge::SpendingKnowledge::default(),
            shares: share_registry::ShareRegistry::default(),
            origins: origin_registry::OriginRegistry::default(),
            prompts: prompt_registry::PromptRegistry::default(),
            software_history: software_history::SoftwareHistory::default(),
            lifetimes: stream_lifetime::StreamLifetimes::default(),
            searches: search_schedule::SearchSchedule::default(),
            has_sought_after_start: false,
            proxied: collections::BTreeMap::new(),
            last_order: None,
            fence_floor: 0,
            selection_seed,
            random,
            update_sequence: 0,
            full_updates: 0,
            sent_state: sent_state::SentState::default(),
            usage_refreshed_at: clock::Timestamp::default(),
            usage_stale: true,
            drain_plan: None,
            data_centre_hash,
            topology: fleet_topology::FleetTopology::default(),
            topology_at: None,
            forwarded_at: clock::Timestamp::default(),
            has_been_forwarded: false,
            seeds_updated_at: clock::Timestamp::default(),
            pauses: core_contact::ProcessPauses::default(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<sync::Arc<site_config::SiteConfig>> {
        self.tracker.view().config.clone()
    }

    /// Returns the registry of the backend servers.
    #[must_use]
    pub const fn backends(&self) -> &backend_registry::BackendRegistry {
        &self.backends
    }

    /// Returns the registry of the other instances.
    #[must_use]
    pub const fn instances(&self) -> &instance_registry::InstanceRegistry {
        &self.instances
    }

    /// Returns the tracker of the platform's view.
    #[must_use]
    pub const fn tracker(&self) -> &view_tracker::ViewTracker {
        &self.tracker
    }

    /// Returns whether the instance is ready to serve callers.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        !self.is_draining() && self.tracker.is_known()
    }

    /// Matches the route of a request, decides whether its key admits it, selects its service and
    /// counts it. A request that isn't admitted doesn't count.
    pub fn route(
        &mut self,
        now: clock::Timestamp,
        host: &str,
        path: &str,
        key: workspace::PresentedKey,
    ) -> RouteMatch {
        let matched = self.route_for_peer(now, host, path, key);
        if let RouteMatch::Found { service, .. } = &matched {
            let bound = self.settings.retry_bound;
            self.window(service).count_request(now, &bound);
        }
        matched
    }

    /// Matches the route of a request of another instance, which has counted it, decides whether its
    /// key admits it, and selects its service.
    pub fn route_for_peer(
        &mut self,
        now: clock::Timestamp,
        host: &str,
        path: &str,
        key: workspace::PresentedKey,
    ) -> RouteMatch {
        let Some(config) = self.config() else {
            return RouteMatch::NoConfig;
        };
        let version = config.version;
        let draw = rand::RngExt::random::<f64>(&mut self.random);
        let matched = config
            .route(host, path)
            .and_then(|route| Some((route, route.service_for(draw)?)));
        let Some((route, service)) = matched else {
            return RouteMatch::NoRoute { version };
        };
        match self.authorize(now, &config, route, key) {
            Ok(admission) => RouteMatch::Found {
                version,
                route: route.clone(),
                service: service.clone(),
                admission,
            },
            Err(refusal) => RouteMatch::KeyRefused {
                version,
                route: route.name.clone(),
                refusal,
            },
        }
    }

    /// Consumes retries from the bound of a service; returns whether enough were left.
    ///
    /// When few retries are left, a random draw decides, since several instances may consume them
    /// before they receive each other's state updates.
    pub fn consume_retries(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        retries: u32,
    ) -> bool {
        let bound = self.settings.retry_bound;
        let fleet = self.instances.fleet_count(now, service, &bound);
        let draw = rand::RngExt::random::<f64>(&mut self.random);
        let window = self.window(service);
        let available = window.available(now, &bound, fleet);
        let wins_draw = draw * concurrent_retries(fleet.live) < available;
        let allowed = retries == 0 || (available >= f64::from(retries) && wins_draw);
        if allowed {
            window.count_retries(now, retries);
        }
        allowed
    }

    /// Returns the retries that this instance may send now, by service.
    pub fn retries_left(&mut self, now: clock::Timestamp) -> Vec<(ids::ServiceName, f64)> {
        let bound = self.settings.retry_bound;
        let instances = &self.instances;
        self.windows
            .iter_mut()
            .map(|(service, window)| {
                let fleet = instances.fleet_count(now, service, &bound);
                (service.clone(), window.available(now, &bound, fleet))
            })
            .collect()
    }

    /// Returns the entry of a backend server.
    #[must_use]
    pub fn entry(&self, key: backend::BackendKey) -> Option<crate::BackendEntry> {
        self.backends.get(key).map(|backend| backend.entry.clone())
    }

    fn window(&mut self, service: &ids::ServiceName) -> &mut retry::RetryWindow {
        self.windows.entry(service.clone()).or_default()
    }
}

/// Returns the number of retries that a fleet of `live` instances may send at about the same time,
/// before the instances receive each other's state updates.
fn concurrent_retries(live: u32) -> f64 {
    let live = f64::from(live);
    live.min(SMALL_FLEET_INSTANCES).max(live * CONCURRENT_SHARE)
}
