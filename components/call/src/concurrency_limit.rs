//! Adaptive limit on the calls of this instance in flight at one backend server.

use std::time;

/// Factor applied to the limit on a sign of overload.
const DECREASE_FACTOR: f64 = 0.8;

/// Shortest time between two decreases of the limit.
const DECREASE_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Weight of a new sample in the average of recent latencies.
const RECENT_WEIGHT: f64 = 0.1;

/// Weight of a new sample above the baseline latency; small, so that the baseline rises slowly.
const BASELINE_RISE_WEIGHT: f64 = 0.000_5;

/// Weight of a new sample below the baseline latency.
const BASELINE_FALL_WEIGHT: f64 = 0.05;

/// Ratio of the recent latency to the baseline latency above which the server is overloaded.
const OVERLOAD_RATIO: f64 = 2.0;

/// Latency above the baseline that never counts as overload.
///
/// The jitter of a fast server is a multiple of its latency.
const JITTER_ALLOWANCE: time::Duration = time::Duration::from_millis(10);

/// Adaptive limit on calls in flight: additive increase, multiplicative decrease (AIMD).
///
/// The limit increases while at least half of it is used and the latency is stable. It decreases
/// when the recent latency exceeds the baseline or the server refuses or fails a call.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    ceiling: f64,
    recent_seconds: Option<f64>,
    /// Latency without overload; it falls within tens of calls and rises over thousands of calls.
    baseline_seconds: f64,
    next_decrease: clock::Timestamp,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at `start` and never exceeds `ceiling`.
    pub fn new(start: u32, ceiling: u32) -> Self {
        Self {
            limit: f64::from(start.clamp(1, ceiling.max(1))),
            ceiling: f64::from(ceiling.max(1)),
            recent_seconds: None,
            baseline_seconds: 0.0,
            next_decrease: clock::Timestamp::default(),
        }
    }

    /// Sets the upper bound of the limit.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = f64::from(ceiling.max(1));
        self.limit = self.limit.min(self.ceiling);
    }

    /// Returns the limit, in calls in flight.
    pub const fn allowed(&self) -> f64 {
        self.limit
    }

    /// Returns the average of recent latencies in seconds, or `None` before the first sample.
    pub const fn recent_seconds(&self) -> Option<f64> {
        self.recent_seconds
    }

    /// Records a successful call that completed while `in_flight` other calls were in flight.
    pub fn succeeded(&mut self, now: clock::Timestamp, latency: time::Duration, in_flight: u32) {
        let seconds = latency.as_secs_f64();
        let recent = self.recent_seconds.map_or(seconds, |recent| {
            weighted_average(recent, seconds, RECENT_WEIGHT)
        });
        let baseline = if self.recent_seconds.is_none() {
            seconds
        } else if seconds > self.baseline_seconds {
            weighted_average(self.baseline_seconds, seconds, BASELINE_RISE_WEIGHT)
        } else {
            weighted_average(self.baseline_seconds, seconds, BASELINE_FALL_WEIGHT)
        };
        self.recent_seconds = Some(recent);
        self.baseline_seconds = baseline;
        let bound = (baseline * OVERLOAD_RATIO).max(baseline + JITTER_ALLOWANCE.as_secs_f64());
        if recent > bound {
            self.decrease(now);
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    /// Decreases the limit on a sign of overload, unless the last decrease is more recent than
    /// `DECREASE_INTERVAL`.
    pub fn decrease(&mut self, now: clock::Timestamp) {
        if now < self.next_decrease {
            return;
        }
        self.next_decrease = now + DECREASE_INTERVAL;
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }
}

fn weighted_average(old: f64, new: f64, weight: f64) -> f64 {
    old + (new - old) * weight
}
