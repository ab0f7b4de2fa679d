//! Bound on the retries of a service as a share of its requests.

use std::{collections, time};

/// Share of the allowed retries that is used. The rest is a reserve for retries of other instances
/// whose counts haven't arrived yet.
const USED_SHARE: f64 = 0.8;

/// Reduction of [`USED_SHARE`] when the counts of no instance cover the window, as after a restart
/// of all instances; proportional to the uncovered share of the window. The earlier processes may
/// have sent up to [`USED_SHARE`] of the retries that are allowed in the window.
const UNCOVERED_REDUCTION: f64 = 0.65;

/// Fraction of its equal part of the allowed retries that an instance uses during
/// [`DISCOVERY_TIME`].
const START_SHARE: f64 = 0.5;

/// Time after its start during which a process has received too few updates to count the other
/// instances. Until then it sends no retries unless it is the only known instance.
const STARTUP_TIME: time::Duration = time::Duration::from_millis(500);

/// Time after its start during which a process may not have received updates from all other
/// instances.
const DISCOVERY_TIME: time::Duration = time::Duration::from_secs(2);

/// Bound on the retries in a sliding window.
#[derive(Clone, Copy, Debug, PartialEq, bon::Builder)]
pub struct RetryBound {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Additional retries, in total over all instances.
    pub slack: f64,
    /// Length of the window.
    pub window: time::Duration,
}

/// Requests and retries of one service in a window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryCount {
    /// Requests from callers.
    pub requests: u32,
    /// Attempts at servers after the first one of each request.
    pub retries: u32,
}

/// Counts of the other instances, and the numbers of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetCount {
    /// Sum of the counts of the other instances.
    pub count: RetryCount,
    /// Alive instances, including this one.
    pub live: u32,
    /// Known instances, including this one. Those that aren't alive may be partitioned and still
    /// send retries.
    pub known: u32,
    /// Share of the window that the counts of an instance cover, summed over the other instances.
    pub coverage: f64,
}

/// Counts requests and retries of one service in a sliding window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: collections::VecDeque<clock::Timestamp>,
    retries: collections::VecDeque<clock::Timestamp>,
}

impl RetryWindow {
    /// Counts a request from a caller.
    pub fn count_request(&mut self, now: clock::Timestamp, bound: &RetryBound) {
        self.remove_expired(now, bound);
        self.requests.push_back(now);
    }

    /// Counts retries that were sent, whether or not the bound allowed them.
    pub fn count_retries(&mut self, now: clock::Timestamp, retries: u32) {
        for _ in 0..retries {
            self.retries.push_back(now);
        }
    }

    /// Returns the counts of this instance.
    pub fn count(&mut self, now: clock::Timestamp, bound: &RetryBound) -> RetryCount {
        self.remove_expired(now, bound);
        RetryCount {
            requests: to_u32(self.requests.len()),
            retries: to_u32(self.retries.len()),
        }
    }

    /// Returns whether `additional` further retries stay within the bound over all instances.
    pub fn allows(
        &mut self,
        now: clock::Timestamp,
        bound: &RetryBound,
        fleet: FleetCount,
        additional: u32,
    ) -> bool {
        self.available(now, bound, fleet) >= f64::from(additional)
    }

    /// Returns the number of retries that this instance may send, at most the number left to all
    /// instances in total. The result is negative when the bound is exceeded.
    pub fn available(
        &mut self,
        now: clock::Timestamp,
        bound: &RetryBound,
        fleet: FleetCount,
    ) -> f64 {
        let own = self.count(now, bound);
        let known = f64::from(fleet.known.max(1));
        // The rest of the slack is left to the known instances that aren't alive, which may be
        // partitioned and still send retries.
        let live_share = f64::from(fleet.live.max(1)) / known;
        let requests = f64::from(own.requests + fleet.count.requests);
        let uncovered = 1.0 - ((fleet.coverage + covered_share(now, bound)) / known).min(1.0);
        let share = USED_SHARE - UNCOVERED_REDUCTION * uncovered;
        let allowed = (bound.ratio * requests + bound.slack * live_share) * share;
        let available = allowed - f64::from(own.retries + fleet.count.retries);
        let uptime = now.since(clock::Timestamp::default());
        let own_limit = if uptime < STARTUP_TIME && fleet.known > 1 {
            0.0
        } else if uptime < DISCOVERY_TIME {
            allowed / known * START_SHARE
        } else {
            allowed
        };
        available.min(own_limit - f64::from(own.retries))
    }

    fn remove_expired(&mut self, now: clock::Timestamp, bound: &RetryBound) {
        let start = now.before(bound.window);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}

/// Returns the share of the window that the counts of this process cover. The clock of a process
/// starts at zero.
fn covered_share(now: clock::Timestamp, bound: &RetryBound) -> f64 {
    let covered = now.since(clock::Timestamp::default()).min(bound.window);
    covered.as_secs_f64() / bound.window.as_secs_f64()
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
