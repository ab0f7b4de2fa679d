//! This instance's share of what the weight store bears.

use std::time;

/// Loads that may be saved up, so that a long quiet time doesn't end in a burst.
const SAVED_LIMIT: f64 = 1.0;

/// This instance's share of the loads that the weight store bears.
///
/// A budget starts empty, so that a change of owners doesn't spend a share twice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadBudget {
    loads_per_minute: u32,
    share: f64,
    saved: f64,
    counted_at: clock::Timestamp,
}

impl LoadBudget {
    /// Makes an empty budget with a limit for the whole site, in loads a minute.
    pub(crate) const fn new(loads_per_minute: u32) -> Self {
        Self {
            loads_per_minute,
            share: 0.0,
            saved: 0.0,
            counted_at: clock::Timestamp::from_micros(0),
        }
    }

    /// Sets the limit for the whole site, in loads a minute.
    pub(crate) fn set_limit(&mut self, now: clock::Timestamp, loads_per_minute: u32) {
        self.count(now);
        self.loads_per_minute = loads_per_minute;
    }

    /// Sets the share of this instance by the cells it owns.
    pub(crate) fn set_share(&mut self, now: clock::Timestamp, owned: usize, all: usize) {
        self.count(now);
        let owned = u32::try_from(owned).unwrap_or(u32::MAX);
        let all = u32::try_from(all.max(1)).unwrap_or(u32::MAX);
        self.share = f64::from(owned) / f64::from(all);
    }

    /// Takes one load if there is one.
    pub(crate) fn take(&mut self, now: clock::Timestamp) -> bool {
        self.count(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    fn count(&mut self, now: clock::Timestamp) {
        let minutes =
            now.since(self.counted_at).as_secs_f64() / time::Duration::from_secs(60).as_secs_f64();
        let earned = minutes * f64::from(self.loads_per_minute) * self.share;
        self.saved = (self.saved + earned).min(SAVED_LIMIT);
        self.counted_at = now;
    }
}
