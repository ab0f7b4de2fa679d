//! One backend server of a plain service, as this instance uses it.

use std::time;

use crate::{concurrency_limit, server_health};

/// One backend server of a plain service, as this instance uses it.
#[derive(Clone, Debug)]
pub struct ServerGate {
    /// Whether the server stands in this instance's data centre.
    pub local: bool,
    /// Whether the server stands in this instance's region.
    pub near: bool,
    /// Whether the server is to receive no new work.
    pub leaving: bool,
    /// Calls of this instance that are open at the server.
    pub open: u32,
    /// How many calls may be open.
    pub limit: concurrency_limit::ConcurrencyLimit,
    /// Whether the server is ejected.
    pub health: server_health::ServerHealth,
}

impl ServerGate {
    /// Returns the number of calls that may be open now.
    pub fn allowed(&self, now: clock::Timestamp) -> f64 {
        let share = self.health.share(now);
        if self.leaving || share <= 0.0 {
            return 0.0;
        }
        (self.limit.allowed() * share).max(1.0)
    }

    /// Returns whether another call may be opened.
    pub fn has_room(&self, now: clock::Timestamp) -> bool {
        f64::from(self.open) + 1.0 <= self.allowed(now)
    }

    /// Takes in a call that ended well.
    pub fn succeeded(&mut self, now: clock::Timestamp, latency: time::Duration) {
        self.limit.succeeded(now, latency, self.open);
        self.health.succeeded(now);
    }
}
