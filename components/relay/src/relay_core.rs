//! Every decision about relayed requests, without I/O: time and randomness are inputs.

mod core_calls;
mod core_learning;
mod core_line;
mod core_orders;
mod core_streams;
mod core_views;

use std::{collections, sync};

use rand::SeedableRng as _;

use crate::{
    backend, backend_book, core_settings, instance_book, length_guess, order_gate, route_rule,
    site_config, stage_planner, stream_lease, told_news, view_keeper, wait_line,
};

pub use core_calls::ServerSelection;
pub use core_line::PlacementOutcome;
pub use core_orders::StageOrder;
pub use core_streams::{MovedStream, StreamCompletion, StreamPlacement};

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
    held_millis: f64,
    /// Prompt tokens of a request.
    prompt_tokens: f64,
    /// Memory that a stream holds on average, in tokens.
    mean_tokens: f64,
    lengths: length_guess::LengthGuess,
}

/// Tokens that a stream generates in a millisecond until streams have shown their own pace.
const USUAL_PACE: f64 = 1.0;

/// Decides about relayed requests.
pub struct RelayCore {
    settings: core_settings::CoreSettings,
    tracker: view_keeper::ViewKeeper,
    instances: instance_book::InstanceBook,
    book: backend_book::BackendBook,
    leases: slotmap::SlotMap<stream_lease::StreamKey, stream_lease::StreamLease>,
    line: wait_line::WaitLine,
    windows: collections::BTreeMap<ids::ServiceName, retry::RetryWindow>,
    averages: collections::BTreeMap<ids::ServiceName, StreamAverage>,
    /// Tokens that a stream generates in a millisecond.
    pace: f64,
    order_gate: order_gate::OrderGate,
    planners: collections::BTreeMap<ids::ServiceName, stage_planner::StagePlanner>,
    /// Moment and fencing number of this instance's last order.
    last_order: Option<(clock::Timestamp, u64)>,
    /// Number that fencing numbers must exceed.
    fence_floor: u64,
    /// Seed of the next choice of engines.
    selection_seed: u64,
    random: rand_chacha::ChaCha8Rng,
    news_sequence: u64,
    /// News told in full.
    full_news: u64,
    told: told_news::ToldNews,
    /// Moment as of which it is worked out what the other instances use.
    usage_as_of: clock::Timestamp,
    /// Whether news came since.
    usage_is_old: bool,
    leaving: bool,
}

impl RelayCore {
    /// Makes a core that knows nothing of the platform yet.
    #[must_use]
    pub fn new(settings: core_settings::CoreSettings) -> Self {
        let random = rand_chacha::ChaCha8Rng::seed_from_u64(settings.seed);
        let selection_seed = settings.seed;
        let instances = instance_book::InstanceBook::new(settings.address, settings.seeds.clone());
        Self {
            settings,
            tracker: view_keeper::ViewKeeper::default(),
            instances,
            book: backend_book::BackendBook::default(),
            leases: slotmap::SlotMap::with_key(),
            line: wait_line::WaitLine::default(),
            windows: collections::BTreeMap::new(),
            averages: collections::BTreeMap::new(),
            pace: USUAL_PACE,
            order_gate: order_gate::OrderGate::default(),
            planners: collections::BTreeMap::new(),
            last_order: None,
            fence_floor: 0,
            selection_seed,
            random,
            news_sequence: 0,
            full_news: 0,
            told: told_news::ToldNews::default(),
            usage_as_of: clock::Timestamp::default(),
            usage_is_old: true,
            leaving: false,
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<sync::Arc<site_config::SiteConfig>> {
        self.tracker.view().config.clone()
    }

    /// Returns the backend servers.
    #[must_use]
    pub const fn book(&self) -> &backend_book::BackendBook {
        &self.book
    }

    /// Returns the other instances.
    #[must_use]
    pub const fn instances(&self) -> &instance_book::InstanceBook {
        &self.instances
    }

    /// Returns the view of the platform.
    #[must_use]
    pub const fn tracker(&self) -> &view_keeper::ViewKeeper {
        &self.tracker
    }

    /// Returns whether callers may be sent here.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        !self.leaving && self.tracker.is_known()
    }

    /// Marks the instance as shutting down.
    pub fn start_draining(&mut self) {
        self.leaving = true;
    }

    /// Finds the route of a request and counts the request for its service.
    pub fn route(&mut self, now: clock::Timestamp, host: &str, path: &str) -> RouteMatch {
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
    pub fn take_retries(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        retries: u32,
    ) -> bool {
        let bound = self.settings.retry_bound;
        let fleet = self.instances.fleet_count(now, service, &bound);
        let draw = rand::RngExt::random::<f64>(&mut self.random);
        let window = self.window(service);
        let left = window.left(now, &bound, fleet);
        let has_chance = draw * f64::from(fleet.live) < left;
        let allowed = retries == 0 || (left >= f64::from(retries) && has_chance);
        if allowed {
            window.count_repeats(now, retries);
        }
        allowed
    }

    /// Returns the repeats that this instance may send now, by service.
    pub fn retries_left(&mut self, now: clock::Timestamp) -> Vec<(ids::ServiceName, f64)> {
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
