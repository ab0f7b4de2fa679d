//! Health of a backend server, computed from the outcomes of its requests.

use std::time;

use crate::server_reach;

/// Weight of a new outcome in the moving averages.
const OUTCOME_SMOOTHING: f64 = 0.15;

/// Half-life of the averages without new outcomes, so that a server that was avoided is tried
/// again.
const HALF_LIFE: time::Duration = time::Duration::from_secs(3);

/// Failure share without an effect on the cost, since some requests fail on any server.
const TOLERATED_FAILURE_SHARE: f64 = 0.15;

/// Increase of the cost factor per unit of failure share above [`TOLERATED_FAILURE_SHARE`].
const FAILURE_COST_FACTOR: f64 = 40.0;

/// Longest ejection after a failure to connect, a timeout or a broken connection.
const MAX_EJECTION: time::Duration = time::Duration::from_secs(3);

/// Outcome of one request at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BackendOutcome {
    /// The server answered without an error.
    Succeeded,
    /// The server answered with an error.
    Failed,
    /// The server refused the request without running it.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the response was malformed.
    Broken,
    /// No response arrived within the timeout.
    #[strum(serialize = "silent")]
    TimedOut,
    /// The caller disconnected, or the request was cancelled for a reason unrelated to the server.
    Abandoned,
}

impl BackendOutcome {
    /// Returns the outcome for the health of a server: one that was silent for a shorter time than
    /// sound servers may be has failed, which doesn't eject it.
    #[must_use]
    pub fn after(self, silence: time::Duration) -> Self {
        if self == Self::TimedOut && silence < server_reach::SILENCE_LIMIT {
            return Self::Failed;
        }
        self
    }
}

/// Failure share, latency and ejection of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendHealth {
    ejection: call::ServerHealth,
    failure_share: f64,
    latency_millis: Option<f64>,
    updated_at: clock::Timestamp,
}

impl BackendHealth {
    /// Returns whether the server may receive requests.
    #[must_use]
    pub fn is_usable(&self, now: clock::Timestamp) -> bool {
        self.ejection.ejected_until(now).is_none()
    }

    /// Returns the end of the current ejection, if the server is ejected.
    #[must_use]
    pub fn ejected_until(&self, now: clock::Timestamp) -> Option<clock::Timestamp> {
        self.ejection.ejected_until(now)
    }

    /// Returns the failure share, decayed since the last outcome.
    #[must_use]
    pub fn failure_share(&self, now: clock::Timestamp) -> f64 {
        self.failure_share * self.decay(now)
    }

    /// Returns the average latency in milliseconds without decay, or `None` before the first
    /// success.
    #[must_use]
    pub const fn average_latency_millis(&self) -> Option<f64> {
        self.latency_millis
    }

    /// Returns the factor by which failures and a recent ejection increase the cost of the server;
    /// 1 for a healthy one.
    #[must_use]
    pub fn cost_factor(&self, now: clock::Timestamp) -> f64 {
        let excess = (self.failure_share(now) - TOLERATED_FAILURE_SHARE).max(0.0);
        let recovery_factor = 1.0 / self.ejection.share(now).max(0.05);
        (1.0 + FAILURE_COST_FACTOR * excess) * recovery_factor
    }

    /// Records the outcome of a request that took `latency`; returns whether the outcome ejected
    /// the server.
    pub fn record(
        &mut self,
        now: clock::Timestamp,
        outcome: BackendOutcome,
        latency: time::Duration,
    ) -> bool {
        if outcome == BackendOutcome::Abandoned {
            return false;
        }
        let failed = outcome != BackendOutcome::Succeeded;
        let previous = self.failure_share(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_share = previous + (sample - previous) * OUTCOME_SMOOTHING;
        self.updated_at = now;
        if !failed {
            let millis = latency.as_secs_f64() * 1_000.0;
            let latency = self.latency_millis.unwrap_or(millis);
            self.latency_millis = Some(latency + (millis - latency) * OUTCOME_SMOOTHING);
            self.ejection.succeeded(now);
            return false;
        }
        let ejects = match outcome {
            BackendOutcome::Unreachable | BackendOutcome::TimedOut => true,
            BackendOutcome::Broken => self.ejection.failed(now),
            _ => false,
        };
        if ejects && self.is_usable(now) {
            self.ejection.eject(now, MAX_EJECTION);
            return true;
        }
        false
    }

    /// Ends an ejection and forgets the failures before it.
    pub fn readmit(&mut self) {
        self.ejection = call::ServerHealth::default();
        self.failure_share = 0.0;
    }

    fn decay(&self, now: clock::Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
