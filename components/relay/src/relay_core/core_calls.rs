//! Server selection for calls to plain services.

use std::time;

use rand::RngExt as _;

use crate::{backend, backend_entry, backend_health, engine_pool, refusal, relay_core};

/// Latency of a call until the first measurement, in milliseconds.
const DEFAULT_CALL_MILLIS: f64 = 20.0;

/// Cost of a server in another data centre, in units of one running call.
const CROSS_CENTRE_LOAD: f64 = 0.1;

/// Largest random cost, in units of one running call. It keeps instances from all selecting the
/// same server.
const JITTER_LOAD: f64 = 0.2;

/// Factor of the cost of a server where one more request would only wait. It is larger than the
/// ratio of the loads of servers, and smaller than the factor of one that fails half of its requests.
const LIMIT_COST_FACTOR: f64 = 4.0;

/// Share of a server's limit up to which its calls are taken not to slow each other.
const UNSLOWED_SHARE: f64 = 0.5;

/// Cost of a running call at a server that isn't slowed by it, relative to one that is.
const UNSLOWED_LOAD: f64 = 0.01;

/// Share of the calls for which servers count as equally fast, so that the rates of those that are
/// avoided stay known.
const TRIAL_SHARE: f64 = 0.02;

/// Smallest timeout of an attempt of a call that may run again.
const MIN_ATTEMPT_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Ratio of the attempt timeout of a call that may run again to the median latency.
const ATTEMPT_TIMEOUT_RATIO: f64 = 6.0;

/// Retry delay for callers when no server accepts work.
const NO_SERVER_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);

/// Server selected for a call.
#[derive(Clone, Debug)]
pub struct ServerSelection {
    /// Key of the server.
    pub key: backend::BackendKey,
    /// Entry of the server.
    pub entry: backend_entry::BackendEntry,
    /// Requests of all instances that were running on the server before the call.
    pub running: u32,
    /// Recent failure share of the server.
    pub failure_share: f64,
    /// Requests per second that the server accepts from all instances, if it names a limit.
    pub rate_limit: Option<f64>,
}

impl relay_core::RelayCore {
    /// Selects a server for a call and counts the call as running there.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the service has no server outside `avoid` that is willing to receive
    /// requests.
    pub fn select_server(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        avoid: &[backend::BackendKey],
    ) -> Result<ServerSelection, refusal::Refusal> {
        self.refresh_stale_usage(now);
        let jitter_offset: f64 = self.random.random();
        let own_centre = &self.settings.data_centre;
        // When no server accepts work, the one with the lowest cost is tried anyway.
        let any_usable = self.backends.table().iter().any(|(key, backend)| {
            backend.entry.service == *service
                && backend.accepts_work(now)
                && self.limits.has_token(now, backend.incarnation)
                && !avoid.contains(&key)
        });
        let candidates = self.backends.table().iter().filter(|(key, backend)| {
            backend.entry.service == *service
                && backend.may_receive(now)
                && self.limits.has_token(now, backend.incarnation)
                && (backend.accepts_work(now) || !any_usable)
                && !avoid.contains(key)
        });
        let servers_differ = jitter_offset >= TRIAL_SHARE
            && candidates
                .clone()
                .any(|(_, backend)| backend.capacity.slowness() != 1.0);
        let selected = candidates
            .enumerate()
            .map(|(index, (key, backend))| {
                let distance = if backend.entry.data_centre == *own_centre {
                    0.0
                } else {
                    CROSS_CENTRE_LOAD
                };
                let position = f64::from(u32::try_from(index).unwrap_or(0));
                let jitter = ((jitter_offset + position * 0.618).fract()) * JITTER_LOAD;
                let load = f64::from(backend.running()) + 1.0 + distance + jitter;
                let cost = if servers_differ {
                    expected_cost(backend, load)
                } else {
                    load * limit_factor(backend, backend.capacity.admitted().unwrap_or(u32::MAX))
                };
                (key, cost * backend.health.cost_factor(now))
            })
            .min_by(|(_, left), (_, right)| left.total_cmp(right));
        let Some((key, _)) = selected else {
            return Err(self.call_refusal(now, service));
        };
        let backend = self.backends.get_mut(key).ok_or(refusal::Refusal {
            reason: refusal::RefusalReason::NoServer,
            retry_after: NO_SERVER_RETRY_DELAY,
        })?;
        let running = backend.running();
        backend.own_running += 1;
        self.limits.count_request(now, backend.incarnation);
        Ok(ServerSelection {
            key,
            entry: backend.entry.clone(),
            running,
            failure_share: backend.health.failure_share(now),
            rate_limit: self.limits.rate(backend.incarnation),
        })
    }

    /// Returns the refusal of a call that no server may receive.
    fn call_refusal(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
    ) -> refusal::Refusal {
        self.backoff_refusal(now, engine_pool::EnginePool::of_service(service), None)
            .or_else(|| self.limit_refusal(now, service))
            .unwrap_or(refusal::Refusal {
                reason: refusal::RefusalReason::NoServer,
                retry_after: NO_SERVER_RETRY_DELAY,
            })
    }

    /// Records the outcome of a call; returns whether the outcome ejected the server.
    pub fn record_call_outcome(
        &mut self,
        now: clock::Timestamp,
        key: backend::BackendKey,
        outcome: backend_health::BackendOutcome,
        latency: time::Duration,
    ) -> bool {
        if outcome == backend_health::BackendOutcome::Succeeded {
            self.observe_call(now, key, latency);
        }
        let Some(backend) = self.backends.get_mut(key) else {
            return false;
        };
        backend.own_running = backend.own_running.saturating_sub(1);
        // A call may simply take long: it doesn't eject the server, however long it was silent.
        let ejected = if outcome == backend_health::BackendOutcome::TimedOut {
            backend.reach.record(now, outcome, latency);
            let failure = backend_health::BackendOutcome::Failed;
            backend.health.record(now, failure, latency)
        } else {
            backend.record_outcome(now, outcome, latency)
        };
        if !backend.listed {
            self.backends.remove_unlisted();
        }
        ejected
    }

    /// Returns the timeout of an attempt, after which a call that may run again is retried on
    /// another server.
    #[must_use]
    pub fn call_attempt_timeout(&self, service: &ids::ServiceName) -> time::Duration {
        let median = self.median_latency(service);
        MIN_ATTEMPT_TIMEOUT.max(clock::bounded_millis(median * ATTEMPT_TIMEOUT_RATIO))
    }

    /// Returns the median over a service's servers of their average latency, in milliseconds.
    fn median_latency(&self, service: &ids::ServiceName) -> f64 {
        let mut latencies: Vec<f64> = self
            .backends
            .table()
            .values()
            .filter(|backend| backend.entry.service == *service)
            .filter_map(|backend| backend.health.average_latency_millis())
            .collect();
        latencies.sort_by(f64::total_cmp);
        latencies
            .get(latencies.len() / 2)
            .copied()
            .unwrap_or(DEFAULT_CALL_MILLIS)
    }
}

/// Returns the expected time of a call at a server with `load` calls, in units of one running call.
///
/// Few calls don't slow each other: those to the fastest servers take the least time until these are
/// full.
fn expected_cost(backend: &backend::Backend, load: f64) -> f64 {
    let limit = backend.capacity.admitted().unwrap_or(backend.entry.slots);
    let unslowed = f64::from(limit) * UNSLOWED_SHARE;
    let time = load.max(unslowed) + load * UNSLOWED_LOAD;
    backend.capacity.slowness() * time * limit_factor(backend, limit)
}

/// Returns the factor of the cost of a server where one more call than `limit` would only wait.
fn limit_factor(backend: &backend::Backend, limit: u32) -> f64 {
    if backend.running() >= limit {
        LIMIT_COST_FACTOR
    } else {
        1.0
    }
}
