//! Budget of model and adapter loads from the weight store.

use std::time;

/// Largest number of saved loads; it prevents a burst after a long idle time.
const SAVED_LIMIT: f64 = 1.0;

/// Token bucket with this instance's share of the weight store's load limit.
///
/// A budget starts empty, so that a change of ownership does not spend a share twice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadBudget {
    loads_per_minute: u32,
    share: f64,
    saved: f64,
    accrued_at: clock::Timestamp,
}

impl LoadBudget {
    /// Creates an empty budget with a limit for the whole site, in loads per minute.
    pub(crate) const fn new(loads_per_minute: u32) -> Self {
        Self {
            loads_per_minute,
            share: 0.0,
            saved: 0.0,
            accrued_at: clock::Timestamp::from_micros(0),
        }
    }

    /// Sets the limit for the whole site, in loads per minute.
    pub(crate) fn set_limit(&mut self, now: clock::Timestamp, loads_per_minute: u32) {
        self.accrue(now);
        self.loads_per_minute = loads_per_minute;
    }

    /// Sets the share of this instance to the share of the cells that it owns.
    pub(crate) fn set_share(&mut self, now: clock::Timestamp, owned: usize, all: usize) {
        self.accrue(now);
        let owned = u32::try_from(owned).unwrap_or(u32::MAX);
        let all = u32::try_from(all.max(1)).unwrap_or(u32::MAX);
        self.share = f64::from(owned) / f64::from(all);
    }

    /// Deducts one load if one is available; returns whether it was.
    pub(crate) fn spend(&mut self, now: clock::Timestamp) -> bool {
        self.accrue(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    fn accrue(&mut self, now: clock::Timestamp) {
        let minutes =
            now.since(self.accrued_at).as_secs_f64() / time::Duration::from_secs(60).as_secs_f64();
        let earned = minutes * f64::from(self.loads_per_minute) * self.share;
        self.saved = (self.saved + earned).min(SAVED_LIMIT);
        self.accrued_at = now;
    }
}
