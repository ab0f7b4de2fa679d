//! Backend servers and queue of one plain service.

use std::{sync, time};

use rand::RngExt as _;

use crate::{concurrency_limit, fair_queue, server_endpoint, server_health};

/// Utilization added to the cost of a server in another data centre.
const OTHER_DATA_CENTRE_COST: f64 = 0.5;

/// Utilization added to the cost of a server in another region.
const OTHER_REGION_COST: f64 = 4.0;

/// Interval at which the capacity of readmitted servers is checked while calls are queued.
const RAMP_UP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Ratio to the median latency of the other servers above which a server is ejected as slow.
const SLOW_RATIO: f64 = 4.0;

/// Latency below which no server is ejected as slow, in seconds.
const SLOW_MIN_SECONDS: f64 = 0.05;

/// Calls in flight above which a high latency may be caused by load rather than by a fault.
const SLOW_CHECK_MAX_IN_FLIGHT: u32 = 1;

/// Weight of a new sample in the pool's average latency.
const LATENCY_WEIGHT: f64 = 0.05;

/// Backend servers and queue of one plain service.
#[derive(Clone)]
pub struct ServicePool {
    /// Calls that wait for a server.
    pub queue: fair_queue::FairQueue,
    /// Retry budget of the service.
    pub budget: retry::RetryBudget,
    /// Time of the next check for server capacity while calls are queued.
    pub capacity_check_at: clock::Timestamp,
    endpoints: indexmap::IndexMap<ids::ServerName, server_endpoint::ServerEndpoint>,
    latency_seconds: f64,
    /// First region in name order with servers; its instances are the witnesses of the service's
    /// keys.
    home: Option<ids::RegionName>,
}

impl ServicePool {
    /// Creates a pool without servers.
    pub fn new(queue_limit: usize) -> Self {
        Self {
            queue: fair_queue::FairQueue::new(queue_limit),
            budget: retry::RetryBudget::default(),
            capacity_check_at: clock::Timestamp::MAX,
            endpoints: indexmap::IndexMap::new(),
            latency_seconds: 0.0,
            home: None,
        }
    }

    /// Sets the servers of the state in force; servers that stay keep their limits and health.
    pub fn set_servers<'entry>(
        &mut self,
        entries: impl Iterator<Item = &'entry sync::Arc<note::ServerEntry>>,
        own: Option<&border::InstanceEntry>,
        instance_count: u32,
    ) {
        let mut old = std::mem::take(&mut self.endpoints);
        self.home = None;
        for entry in entries {
            let mut endpoint = old
                .swap_remove(&entry.name)
                .unwrap_or_else(|| new_endpoint(entry, instance_count));
            endpoint.limit.set_ceiling(entry.concurrency);
            endpoint.draining = entry.leaving;
            endpoint.same_data_centre = own.is_some_and(|own| own.data_centre == entry.data_centre);
            endpoint.same_region = own.is_none_or(|own| own.region == entry.region);
            self.endpoints.insert(entry.name.clone(), endpoint);
            if self.home.as_ref().is_none_or(|home| entry.region < *home) {
                self.home = Some(entry.region.clone());
            }
        }
    }

    /// Returns the region whose instances are the witnesses of the service's keys.
    pub const fn home(&self) -> Option<&ids::RegionName> {
        self.home.as_ref()
    }

    /// Returns whether any server is not draining, including ejected servers.
    pub fn accepts_calls(&self) -> bool {
        self.endpoints.values().any(|endpoint| !endpoint.draining)
    }

    /// Returns whether the pool has any server, including draining servers.
    pub fn has_any_server(&self) -> bool {
        !self.endpoints.is_empty()
    }

    /// Returns whether a server accepts new calls.
    pub fn server_accepts_calls(&self, server: &ids::ServerName) -> bool {
        self.endpoints
            .get(server)
            .is_some_and(|endpoint| !endpoint.draining)
    }

    /// Returns the expected time in queue of a new call.
    pub fn expected_wait(&self, now: clock::Timestamp) -> time::Duration {
        let allowed: f64 = self
            .endpoints
            .values()
            .map(|endpoint| endpoint.allowed(now))
            .sum();
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let seconds = self.latency_seconds * f64::from(queued) / allowed.max(1.0);
        time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
    }

    /// Reserves capacity for a call at the server with the lowest cost and returns the server.
    ///
    /// The search starts at a random server, so that ties between servers of equal cost are broken
    /// at random.
    /// Returns `None` when no server other than `avoid` has capacity.
    pub fn reserve(
        &mut self,
        now: clock::Timestamp,
        avoid: Option<&ids::ServerName>,
        generator: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<ids::ServerName> {
        let start = generator.random_range(0..self.endpoints.len().max(1));
        let best = self
            .rotated_endpoints(start)
            .filter(|(name, endpoint)| Some(*name) != avoid && endpoint.has_capacity(now))
            .min_by(|(_, left), (_, right)| cost(left, now).total_cmp(&cost(right, now)))
            .map(|(name, _)| name.clone())?;
        if let Some(endpoint) = self.endpoints.get_mut(&best) {
            endpoint.in_flight += 1;
        }
        Some(best)
    }

    /// Releases the capacity of a call at a server without a change to the server's health.
    pub fn release(&mut self, server: &ids::ServerName) {
        if let Some(endpoint) = self.endpoints.get_mut(server) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Records a successful call at a server.
    pub fn succeeded(
        &mut self,
        now: clock::Timestamp,
        server: &ids::ServerName,
        latency: time::Duration,
    ) {
        let seconds = latency.as_secs_f64();
        self.latency_seconds += (seconds - self.latency_seconds) * LATENCY_WEIGHT;
        if let Some(endpoint) = self.endpoints.get_mut(server) {
            endpoint.succeeded(now, latency);
        }
        if self.is_slow(server) {
            self.eject(now, server, server_health::SLOWNESS_EJECTION_CAP);
        }
    }

    /// Records that a server failed a call or was unavailable.
    pub fn failed(&mut self, now: clock::Timestamp, server: &ids::ServerName) {
        let Some(endpoint) = self.endpoints.get_mut(server) else {
            return;
        };
        endpoint.limit.decrease(now);
        if endpoint.health.failed(now) {
            self.eject(now, server, server_health::FAILURE_EJECTION_CAP);
        }
    }

    /// Records that a server limited the request rate.
    pub fn overloaded(&mut self, now: clock::Timestamp, server: &ids::ServerName) {
        if let Some(endpoint) = self.endpoints.get_mut(server) {
            endpoint.limit.decrease(now);
        }
    }

    /// Schedules the next check for server capacity while calls are queued.
    pub fn schedule_capacity_check(&mut self, now: clock::Timestamp) {
        self.capacity_check_at = clock::Timestamp::MAX;
        if self.queue.is_empty() {
            return;
        }
        for endpoint in self
            .endpoints
            .values()
            .filter(|endpoint| !endpoint.draining)
        {
            let next = match endpoint.health.ejected_until(now) {
                Some(until) => until,
                None if endpoint.health.is_impaired() => now + RAMP_UP_POLL_INTERVAL,
                None => clock::Timestamp::MAX,
            };
            self.capacity_check_at = self.capacity_check_at.min(next);
        }
    }

    /// Ejects a server unless more than half of the servers would be ejected.
    fn eject(&mut self, now: clock::Timestamp, server: &ids::ServerName, cap: time::Duration) {
        let ejected = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.health.ejected_until(now).is_some())
            .count();
        if (ejected + 1) * 2 > self.endpoints.len() {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(server) {
            endpoint.health.eject(now, cap);
        }
    }

    fn is_slow(&self, server: &ids::ServerName) -> bool {
        let Some(recent) = self
            .endpoints
            .get(server)
            .filter(|endpoint| {
                !endpoint.health.is_impaired() && endpoint.in_flight <= SLOW_CHECK_MAX_IN_FLIGHT
            })
            .and_then(|endpoint| endpoint.limit.recent_seconds())
        else {
            return false;
        };
        if recent < SLOW_MIN_SECONDS {
            return false;
        }
        let mut others: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(name, _)| *name != server)
            .filter_map(|(_, endpoint)| endpoint.limit.recent_seconds())
            .collect();
        others.sort_unstable_by(f64::total_cmp);
        others
            .get(others.len() / 2)
            .is_some_and(|median| recent > median * SLOW_RATIO)
    }

    fn rotated_endpoints(
        &self,
        start: usize,
    ) -> impl Iterator<Item = (&ids::ServerName, &server_endpoint::ServerEndpoint)> {
        self.endpoints
            .iter()
            .skip(start)
            .chain(self.endpoints.iter().take(start))
    }
}

fn new_endpoint(entry: &note::ServerEntry, instance_count: u32) -> server_endpoint::ServerEndpoint {
    let start = entry.concurrency.div_ceil(instance_count.max(1));
    server_endpoint::ServerEndpoint {
        same_data_centre: false,
        same_region: false,
        draining: entry.leaving,
        in_flight: 0,
        limit: concurrency_limit::ConcurrencyLimit::new(start, entry.concurrency),
        health: server_health::ServerHealth::default(),
    }
}

fn cost(endpoint: &server_endpoint::ServerEndpoint, now: clock::Timestamp) -> f64 {
    let utilization = f64::from(endpoint.in_flight) / endpoint.allowed(now).max(f64::MIN_POSITIVE);
    match (endpoint.same_data_centre, endpoint.same_region) {
        (true, _) => utilization,
        (false, true) => utilization + OTHER_DATA_CENTRE_COST,
        (false, false) => utilization + OTHER_REGION_COST,
    }
}
