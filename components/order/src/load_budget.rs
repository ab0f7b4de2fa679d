//! Budget of model and adapter loads from the weight store.

use std::time;

/// Largest number of tokens, in loads; it prevents a burst after a long idle time.
const BURST_LIMIT: f64 = 1.0;

/// Token bucket with this instance's share of the weight store's load limit.
///
/// A budget starts empty, so that the previous and the new owner of a cell do not both spend the
/// same share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadBudget {
    loads_per_minute: u32,
    share: f64,
    tokens: f64,
    refilled_at: clock::Timestamp,
}

impl LoadBudget {
    /// Creates an empty budget with a limit for the whole site, in loads per minute.
    pub(crate) const fn new(loads_per_minute: u32) -> Self {
        Self {
            loads_per_minute,
            share: 0.0,
            tokens: 0.0,
            refilled_at: clock::Timestamp::from_micros(0),
        }
    }

    /// Sets the limit for the whole site, in loads per minute.
    pub(crate) fn set_limit(&mut self, now: clock::Timestamp, loads_per_minute: u32) {
        self.refill(now);
        self.loads_per_minute = loads_per_minute;
    }

    /// Sets the share of this instance to the share of the cells that it owns.
    pub(crate) fn set_share(&mut self, now: clock::Timestamp, owned: usize, all: usize) {
        self.refill(now);
        let owned = u32::try_from(owned).unwrap_or(u32::MAX);
        let all = u32::try_from(all.max(1)).unwrap_or(u32::MAX);
        self.share = f64::from(owned) / f64::from(all);
    }

    /// Deducts one load if one is available; returns whether it was.
    pub(crate) fn spend(&mut self, now: clock::Timestamp) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: clock::Timestamp) {
        let minutes =
            now.since(self.refilled_at).as_secs_f64() / time::Duration::from_secs(60).as_secs_f64();
        let added = minutes * f64::from(self.loads_per_minute) * self.share;
        self.tokens = (self.tokens + added).min(BURST_LIMIT);
        self.refilled_at = now;
    }
}
