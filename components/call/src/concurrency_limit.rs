//! How many calls this instance has open at one backend server.

use std::time;

/// Share of the limit that remains after a sign of overload.
const CUT_FACTOR: f64 = 0.8;

/// Shortest time between two cuts.
const CUT_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Weight of a new latency in the recent average.
const RECENT_WEIGHT: f64 = 0.1;

/// Weight of a new latency above the level, which so rises slowly.
const RISE_WEIGHT: f64 = 0.000_5;

/// Weight of a new latency below the level.
const FALL_WEIGHT: f64 = 0.05;

/// Ratio of the recent latency to its level that is taken as overload.
const SLOW_RATIO: f64 = 2.0;

/// Latency beyond the level that is never taken as overload: a fast server's jitter is a multiple
/// of its latency.
const JITTER_ALLOWANCE: time::Duration = time::Duration::from_millis(10);

/// Adapts the number of open calls: additive increase, multiplicative decrease.
///
/// The limit grows while it is used and latencies stay level, and is cut when the recent latency
/// exceeds its level or the server refuses.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    ceiling: f64,
    recent_seconds: Option<f64>,
    /// Latency at which the server isn't overloaded: falls at once, rises over thousands of calls.
    level_seconds: f64,
    next_cut: clock::Timestamp,
}

impl ConcurrencyLimit {
    /// Makes a limit that starts at `start` and never exceeds `ceiling`.
    pub fn new(start: u32, ceiling: u32) -> Self {
        Self {
            limit: f64::from(start.clamp(1, ceiling.max(1))),
            ceiling: f64::from(ceiling.max(1)),
            recent_seconds: None,
            level_seconds: 0.0,
            next_cut: clock::Timestamp::default(),
        }
    }

    /// Changes the largest limit.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = f64::from(ceiling.max(1));
        self.limit = self.limit.min(self.ceiling);
    }

    /// Returns the number of calls that may be open.
    pub const fn allowed(&self) -> f64 {
        self.limit
    }

    /// Returns the recent latency in seconds, when any is known.
    pub const fn recent_seconds(&self) -> Option<f64> {
        self.recent_seconds
    }

    /// Takes in a call that ended well while `open` calls were open.
    pub fn succeeded(&mut self, now: clock::Timestamp, latency: time::Duration, open: u32) {
        let seconds = latency.as_secs_f64();
        let recent = self
            .recent_seconds
            .map_or(seconds, |recent| blend(recent, seconds, RECENT_WEIGHT));
        let level = if self.recent_seconds.is_none() {
            seconds
        } else if seconds > self.level_seconds {
            blend(self.level_seconds, seconds, RISE_WEIGHT)
        } else {
            blend(self.level_seconds, seconds, FALL_WEIGHT)
        };
        self.recent_seconds = Some(recent);
        self.level_seconds = level;
        let bound = (level * SLOW_RATIO).max(level + JITTER_ALLOWANCE.as_secs_f64());
        if recent > bound {
            self.cut(now);
        } else if f64::from(open) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.ceiling);
        }
    }

    /// Takes in a sign that the server has too much to do.
    pub fn cut(&mut self, now: clock::Timestamp) {
        if now < self.next_cut {
            return;
        }
        self.next_cut = now + CUT_INTERVAL;
        self.limit = (self.limit * CUT_FACTOR).max(1.0);
    }
}

fn blend(old: f64, new: f64, weight: f64) -> f64 {
    old + (new - old) * weight
}
