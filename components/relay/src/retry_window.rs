//! The share of the fleet's repeats that this instance may send.

use std::{collections, time};

/// Part of the allowed repeats that is used: counts of the instances differ from the platform's.
const USED_SHARE: f64 = 0.75;

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

/// Counts requests and repeats of one service in a sliding window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    requests: collections::VecDeque<clock::Moment>,
    repeats: collections::VecDeque<clock::Moment>,
}

impl RetryWindow {
    /// Counts a request.
    pub fn count_request(&mut self, now: clock::Moment, bound: &RetryBound) {
        self.forget(now, bound);
        self.requests.push_back(now);
    }

    /// Counts a repeat that was sent or refused, whether or not the bound allows it.
    pub fn count_repeat(&mut self, now: clock::Moment) {
        self.repeats.push_back(now);
    }

    /// Returns whether one more repeat stays within this instance's share.
    pub fn allows(&mut self, now: clock::Moment, bound: &RetryBound, instances: usize) -> bool {
        self.forget(now, bound);
        let requests = count_as_f64(self.requests.len());
        let share = bound.slack / count_as_f64(instances.max(1));
        let allowed = (bound.ratio * requests + share) * USED_SHARE;
        count_as_f64(self.repeats.len()) + 1.0 <= allowed
    }

    fn forget(&mut self, now: clock::Moment, bound: &RetryBound) {
        let start = now.before(bound.window);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| *time < start) {
                times.pop_front();
            }
        }
    }
}

fn count_as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
