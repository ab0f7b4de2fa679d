//! How well a backend server answers, by what became of its requests.

use std::time;

/// Weight of a new outcome in the averages.
const OUTCOME_WEIGHT: f64 = 0.15;

/// Time after which half of an average is forgotten, so that a server that is avoided is tried
/// again.
const HALF_LIFE: time::Duration = time::Duration::from_secs(3);

/// Share of failures that costs a server nothing: some requests fail at any server.
const USUAL_FAILURES: f64 = 0.15;

/// How much a failing server is avoided: its cost at a failure share of one above the usual.
const FAILURE_COST: f64 = 40.0;

/// Longest ejection of a server that can't be reached.
const UNREACHABLE_CAP: time::Duration = time::Duration::from_secs(3);

/// What became of one request at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BackendOutcome {
    /// It answered well.
    Succeeded,
    /// It answered with a failure of its own.
    Failed,
    /// It refused the request without running it.
    Refused,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or bytes came that are no answer.
    Broken,
    /// Nothing came in time.
    #[strum(serialize = "silent")]
    TimedOut,
    /// The caller left, or the request was given up for a reason that isn't the server's.
    Abandoned,
}

/// How well a backend server answers.
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

    /// Returns the share of failures, old ones half forgotten.
    #[must_use]
    pub fn failure_share(&self, now: clock::Timestamp) -> f64 {
        self.failure_share * self.remembered(now)
    }

    /// Returns the recent latency in milliseconds, which nears `usual` while the server is unused.
    #[must_use]
    pub fn latency_millis(&self, now: clock::Timestamp, usual: f64) -> f64 {
        self.latency_millis.map_or(usual, |latency| {
            usual + (latency - usual) * self.remembered(now)
        })
    }

    /// Returns the latency of the last requests in milliseconds, when any is known.
    #[must_use]
    pub const fn measured_millis(&self) -> Option<f64> {
        self.latency_millis
    }

    /// Returns how much dearer the failures make a request here, 1 for a sound server.
    #[must_use]
    pub fn cost_factor(&self, now: clock::Timestamp) -> f64 {
        let excess = (self.failure_share(now) - USUAL_FAILURES).max(0.0);
        let returning = 1.0 / self.ejection.share(now).max(0.05);
        (1.0 + FAILURE_COST * excess) * returning
    }

    /// Takes in what became of a request that took `latency`; returns whether the server was
    /// ejected by it.
    pub fn ended(
        &mut self,
        now: clock::Timestamp,
        outcome: BackendOutcome,
        latency: time::Duration,
    ) -> bool {
        if outcome == BackendOutcome::Abandoned {
            return false;
        }
        let failed = outcome != BackendOutcome::Succeeded;
        let old = self.failure_share(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_share = old + (sample - old) * OUTCOME_WEIGHT;
        self.updated_at = now;
        if !failed {
            let millis = latency.as_secs_f64() * 1_000.0;
            let latency = self.latency_millis.unwrap_or(millis);
            self.latency_millis = Some(latency + (millis - latency) * OUTCOME_WEIGHT);
            self.ejection.succeeded(now);
            return false;
        }
        let ejects = match outcome {
            BackendOutcome::Unreachable | BackendOutcome::TimedOut => true,
            BackendOutcome::Broken => self.ejection.failed(now),
            _ => false,
        };
        if ejects && self.is_usable(now) {
            self.ejection.eject(now, UNREACHABLE_CAP);
            return true;
        }
        false
    }

    fn remembered(&self, now: clock::Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
