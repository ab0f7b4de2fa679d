//! The share of a service's requests that may be repeats.

use std::{collections, time};

/// Part of the allowed repeats that is used: what other instances tell is a little late.
const USED_SHARE: f64 = 0.8;

/// Part of the allowed repeats that is left unused where the counts of all instances are lost: as
/// much as [`USED_SHARE`] may have been sent by the processes that held them.
const LOST_SHARE: f64 = 0.65;

/// Part of its even share that an instance uses while it may not have heard of all others.
const START_SHARE: f64 = 0.5;

/// Time after its start in which a process can't tell how many others there are.
const ALONE_TIME: time::Duration = time::Duration::from_millis(500);

/// Time after its start in which a process may not have heard of all others.
const MEETING_TIME: time::Duration = time::Duration::from_secs(2);

/// Bound on repeats in a sliding window.
#[derive(Clone, Copy, Debug, PartialEq, bon::Builder)]
pub struct RetryBound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond these, of all instances together.
    pub slack: f64,
    /// Length of the window.
    pub window: time::Duration,
}

/// Requests and repeats of one service in a window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RetryCount {
    /// Requests of callers.
    pub requests: u32,
    /// Arrivals at servers beyond the first of each request.
    pub retries: u32,
}

/// What the other instances have counted, and how many there are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetCount {
    /// Their counts together.
    pub count: RetryCount,
    /// Instances that live, this one included.
    pub live: u32,
    /// Instances known, this one included; those that don't live may be cut off and go on.
    pub known: u32,
    /// Part of the window over which the counts of the others reach back, summed over them.
    pub covered: f64,
}

/// Counts requests and repeats of one service in a sliding window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: collections::VecDeque<clock::Timestamp>,
    retries: collections::VecDeque<clock::Timestamp>,
}

impl RetryWindow {
    /// Counts a request.
    pub fn count_request(&mut self, now: clock::Timestamp, bound: &RetryBound) {
        self.forget(now, bound);
        self.requests.push_back(now);
    }

    /// Counts repeats that were sent, whether or not the bound allowed them.
    pub fn count_repeats(&mut self, now: clock::Timestamp, retries: u32) {
        for _ in 0..retries {
            self.retries.push_back(now);
        }
    }

    /// Returns this instance's counts.
    pub fn count(&mut self, now: clock::Timestamp, bound: &RetryBound) -> RetryCount {
        self.forget(now, bound);
        RetryCount {
            requests: whole(self.requests.len()),
            retries: whole(self.retries.len()),
        }
    }

    /// Returns whether `wanted` more repeats stay within the bound of all instances together.
    pub fn allows(
        &mut self,
        now: clock::Timestamp,
        bound: &RetryBound,
        fleet: FleetCount,
        wanted: u32,
    ) -> bool {
        self.left(now, bound, fleet) >= f64::from(wanted)
    }

    /// Returns the repeats that this instance may send as far as it knows, at most those that are
    /// left to all instances together.
    pub fn left(&mut self, now: clock::Timestamp, bound: &RetryBound, fleet: FleetCount) -> f64 {
        let own = self.count(now, bound);
        let known = f64::from(fleet.known.max(1));
        let live_share = f64::from(fleet.live.max(1)) / known;
        let requests = f64::from(own.requests + fleet.count.requests);
        let lost = 1.0 - ((fleet.covered + covered_share(now, bound)) / known).min(1.0);
        let share = USED_SHARE - LOST_SHARE * lost;
        let allowed = (bound.ratio * requests + bound.slack * live_share) * share;
        let left = allowed - f64::from(own.retries + fleet.count.retries);
        let age = now.since(clock::Timestamp::default());
        let own_limit = if age < ALONE_TIME && fleet.known > 1 {
            0.0
        } else if age < MEETING_TIME {
            allowed / known * START_SHARE
        } else {
            allowed
        };
        left.min(own_limit - f64::from(own.retries))
    }

    fn forget(&mut self, now: clock::Timestamp, bound: &RetryBound) {
        let start = now.before(bound.window);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}

/// Returns the part of the window over which the counts of a process reach back that started with
/// its clock.
fn covered_share(now: clock::Timestamp, bound: &RetryBound) -> f64 {
    let age = now.since(clock::Timestamp::default()).min(bound.window);
    age.as_secs_f64() / bound.window.as_secs_f64()
}

fn whole(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
