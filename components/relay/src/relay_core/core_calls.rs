//! Calls to plain services.

use std::time;

use rand::RngExt as _;

use crate::{backend, backend_entry, backend_health, refusal, relay_core};

/// Latency of a call in milliseconds until a server has shown its own.
const USUAL_CALL_MILLIS: f64 = 20.0;

/// Cost of a server in another data centre, as a share of a call.
const CENTRE_SHARE: f64 = 0.1;

/// Share of a call by which costs are varied, so that instances don't all choose alike.
const JITTER_SHARE: f64 = 0.2;

/// Shortest time after which a call that may run again is tried at another server.
const PATIENCE_FLOOR: time::Duration = time::Duration::from_millis(150);

/// Usual latencies after which a call that may run again is tried at another server.
const PATIENCE_RATIO: f64 = 6.0;

/// Time after which a caller may come back when no server takes work.
const NO_SERVER_RETRY: time::Duration = time::Duration::from_millis(400);

/// The server chosen for a call.
#[derive(Clone, Debug)]
pub struct ServerSelection {
    /// Its key.
    pub key: backend::BackendKey,
    /// Its entry.
    pub entry: backend_entry::BackendEntry,
    /// Requests that it had under way, as far as known.
    pub running: u32,
    /// Share of its recent requests that failed.
    pub failure_share: f64,
}

impl relay_core::RelayCore {
    /// Chooses a server for a call and counts the call there.
    ///
    /// # Errors
    ///
    /// Returns a refusal when no server may receive work.
    pub fn select_server(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        avoid: &[backend::BackendKey],
    ) -> Result<ServerSelection, refusal::Refusal> {
        self.fresh_usage(now);
        let jitters: f64 = self.random.random();
        let home = &self.settings.data_centre;
        let usual = self.usual_latency(service);
        // When no server answers well, the least bad one is tried.
        let any_usable = self.book.table().iter().any(|(key, known)| {
            known.entry.service == *service && known.takes_work(now) && !avoid.contains(&key)
        });
        let chosen = self
            .book
            .table()
            .iter()
            .filter(|(key, known)| {
                known.entry.service == *service
                    && known.is_current()
                    && (known.takes_work(now) || !any_usable)
                    && !avoid.contains(key)
            })
            .enumerate()
            .map(|(index, (key, known))| {
                let far = if known.entry.data_centre == *home {
                    0.0
                } else {
                    CENTRE_SHARE
                };
                let turn = f64::from(u32::try_from(index).unwrap_or(0));
                let jitter = ((jitters + turn * 0.618).fract()) * JITTER_SHARE;
                let open = f64::from(known.running()) + 1.0 + far + jitter;
                let latency = known.health.latency_millis(now, usual);
                (key, open * latency * known.health.cost_factor(now))
            })
            .min_by(|(_, left), (_, right)| left.total_cmp(right));
        let Some((key, _)) = chosen else {
            return Err(refusal::Refusal {
                reason: refusal::RefusalReason::NoServer,
                retry_after: NO_SERVER_RETRY,
            });
        };
        let known = self.book.get_mut(key).ok_or(refusal::Refusal {
            reason: refusal::RefusalReason::NoServer,
            retry_after: NO_SERVER_RETRY,
        })?;
        let running = known.running();
        known.own_running += 1;
        Ok(ServerSelection {
            key,
            entry: known.entry.clone(),
            running,
            failure_share: known.health.failure_share(now),
        })
    }

    /// Takes in what became of a call at a server; returns whether the server was ejected by it.
    pub fn record_call_outcome(
        &mut self,
        now: clock::Timestamp,
        key: backend::BackendKey,
        outcome: backend_health::BackendOutcome,
        latency: time::Duration,
    ) -> bool {
        let Some(known) = self.book.get_mut(key) else {
            return false;
        };
        known.own_running = known.own_running.saturating_sub(1);
        // A call that takes long may be a long call: it counts, but doesn't eject by itself.
        let outcome = match outcome {
            backend_health::BackendOutcome::TimedOut => backend_health::BackendOutcome::Failed,
            other => other,
        };
        let ejected = known.health.ended(now, outcome, latency);
        if !known.listed {
            self.book.forget_unused();
        }
        ejected
    }

    /// Returns the time after which a call that may run again is tried at another server.
    #[must_use]
    pub fn call_attempt_timeout(&self, service: &ids::ServiceName) -> time::Duration {
        let usual = self.usual_latency(service);
        PATIENCE_FLOOR.max(time::Duration::from_secs_f64(
            usual * PATIENCE_RATIO / 1_000.0,
        ))
    }

    /// Returns the median latency of a service's servers in milliseconds.
    fn usual_latency(&self, service: &ids::ServiceName) -> f64 {
        let mut known: Vec<f64> = self
            .book
            .table()
            .values()
            .filter(|known| known.entry.service == *service)
            .filter_map(|known| known.health.measured_millis())
            .collect();
        known.sort_by(f64::total_cmp);
        known
            .get(known.len() / 2)
            .copied()
            .unwrap_or(USUAL_CALL_MILLIS)
    }
}
