//! Every decision about relayed requests, without I/O: time and randomness are inputs.

mod core_calls;
mod core_estimates;
mod core_orders;
mod core_queue;
mod core_streams;
mod core_views;

use std::{collections, sync};

use rand::SeedableRng as _;

use crate::{
    backend, backend_registry, core_settings, instance_registry, length_estimator, order_gate,
    route_rule, sent_state, site_config, stage_planner, stream_lease, view_tracker, wait_queue,
};

pub use core_calls::ServerPick;
pub use core_orders::StageOrder;
pub use core_queue::PlaceAnswer;
pub use core_streams::{MovedStream, StreamEnd, StreamPlace};

/// The route of a request.
#[derive(Clone, Debug)]
pub enum RouteMatch {
    /// No configuration is known.
    NoConfig,
    /// No route of the configuration in force fits.
    NoRoute {
        /// Version of the configuration.
        version: u64,
    },
    /// A route fits.
    Found {
        /// Version of the configuration.
        version: u64,
        /// The route.
        route: route_rule::RouteRule,
        /// Service that the request goes to.
        service: ids::ServiceName,
    },
}

/// Averages of the streams of one service.
#[derive(Clone, Copy, Debug)]
struct StreamAverage {
    /// Time from the grant of a place to its end, in milliseconds.
    slot_millis: f64,
    /// Prompt tokens of a request.
    prompt_tokens: f64,
    /// Memory that a stream holds on average, in tokens.
    mean_tokens: f64,
    lengths: length_estimator::LengthEstimator,
}

/// Tokens that a stream generates in a millisecond until streams have shown their own pace.
const DEFAULT_DECODE_TOKENS_PER_MS: f64 = 1.0;

/// Decides about relayed requests.
pub struct RelayCore {
    settings: core_settings::CoreSettings,
    keeper: view_tracker::ViewTracker,
    instances: instance_registry::InstanceRegistry,
    book: backend_registry::BackendRegistry,
    leases: slotmap::SlotMap<stream_lease::StreamKey, stream_lease::StreamLease>,
    line: wait_queue::WaitQueue,
    windows: collections::BTreeMap<ids::ServiceName, retry::RetryWindow>,
    averages: collections::BTreeMap<ids::ServiceName, StreamAverage>,
    /// Tokens that a stream generates in a millisecond.
    decode_rate: f64,
    order_gate: order_gate::OrderGate,
    planners: collections::BTreeMap<ids::ServiceName, stage_planner::StagePlanner>,
    /// Moment and fencing number of this instance's last order.
    last_order: Option<(clock::Moment, u64)>,
    /// Number that fencing numbers must exceed.
    fence_floor: u64,
    /// Seed of the next choice of engines.
    choice_seed: u64,
    random: rand_chacha::ChaCha8Rng,
    update_sequence: u64,
    /// News told in full.
    full_updates: u64,
    sent: sent_state::SentState,
    /// Moment as of which it is worked out what the other instances use.
    usage_refreshed_at: clock::Moment,
    /// Whether news came since.
    usage_stale: bool,
    leaving: bool,
}

impl RelayCore {
    /// Makes a core that knows nothing of the platform yet.
    #[must_use]
    pub fn new(settings: core_settings::CoreSettings) -> Self {
        let random = rand_chacha::ChaCha8Rng::seed_from_u64(settings.seed);
        let choice_seed = settings.seed;
        let instances =
            instance_registry::InstanceRegistry::new(settings.address, settings.seeds.clone());
        Self {
            settings,
            keeper: view_tracker::ViewTracker::default(),
            instances,
            book: backend_registry::BackendRegistry::default(),
            leases: slotmap::SlotMap::with_key(),
            line: wait_queue::WaitQueue::default(),
            windows: collections::BTreeMap::new(),
            averages: collections::BTreeMap::new(),
            decode_rate: DEFAULT_DECODE_TOKENS_PER_MS,
            order_gate: order_gate::OrderGate::default(),
            planners: collections::BTreeMap::new(),
            last_order: None,
            fence_floor: 0,
            choice_seed,
            random,
            update_sequence: 0,
            full_updates: 0,
            sent: sent_state::SentState::default(),
            usage_refreshed_at: clock::Moment::default(),
            usage_stale: true,
            leaving: false,
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<sync::Arc<site_config::SiteConfig>> {
        self.keeper.view().config.clone()
    }

    /// Returns the backend servers.
    #[must_use]
    pub const fn book(&self) -> &backend_registry::BackendRegistry {
        &self.book
    }

    /// Returns the other instances.
    #[must_use]
    pub const fn instances(&self) -> &instance_registry::InstanceRegistry {
        &self.instances
    }

    /// Returns the view of the platform.
    #[must_use]
    pub const fn keeper(&self) -> &view_tracker::ViewTracker {
        &self.keeper
    }

    /// Returns whether callers may be sent here.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        !self.leaving && self.keeper.is_known()
    }

    /// Marks the instance as shutting down.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Finds the route of a request and counts the request for its service.
    pub fn route(&mut self, now: clock::Moment, host: &str, path: &str) -> RouteMatch {
        let Some(config) = self.config() else {
            return RouteMatch::NoConfig;
        };
        let version = config.version;
        let draw = rand::RngExt::random::<f64>(&mut self.random);
        let found = config
            .route(host, path)
            .and_then(|route| Some((route, route.service_for(draw)?)));
        let Some((route, service)) = found else {
            return RouteMatch::NoRoute { version };
        };
        let bound = self.settings.retry_bound;
        self.window(service).count_request(now, &bound);
        RouteMatch::Found {
            version,
            route: route.clone(),
            service: service.clone(),
        }
    }

    /// Takes repeats out of what is allowed for a service; returns whether there were enough.
    ///
    /// Where fewer are left than there are instances, chance decides, as many may ask for them
    /// before they hear of each other.
    pub fn take_repeats(
        &mut self,
        now: clock::Moment,
        service: &ids::ServiceName,
        repeats: u32,
    ) -> bool {
        let bound = self.settings.retry_bound;
        let fleet = self.instances.fleet_count(now, service, &bound);
        let draw = rand::RngExt::random::<f64>(&mut self.random);
        let window = self.window(service);
        let left = window.left(now, &bound, fleet);
        let has_chance = draw * f64::from(fleet.live) < left;
        let allowed = repeats == 0 || (left >= f64::from(repeats) && has_chance);
        if allowed {
            window.count_retries(now, repeats);
        }
        allowed
    }

    /// Returns the repeats that this instance may send now, by service.
    pub fn repeats_left(&mut self, now: clock::Moment) -> Vec<(ids::ServiceName, f64)> {
        let bound = self.settings.retry_bound;
        let instances = &self.instances;
        self.windows
            .iter_mut()
            .map(|(service, window)| {
                let fleet = instances.fleet_count(now, service, &bound);
                (service.clone(), window.left(now, &bound, fleet))
            })
            .collect()
    }

    /// Returns a backend server's entry.
    #[must_use]
    pub fn entry(&self, key: backend::BackendKey) -> Option<crate::BackendEntry> {
        self.book.get(key).map(|known| known.entry.clone())
    }

    fn window(&mut self, service: &ids::ServiceName) -> &mut retry::RetryWindow {
        self.windows.entry(service.clone()).or_default()
    }
}
