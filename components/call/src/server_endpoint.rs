//! State of one backend server of a plain service at this instance.

use std::time;

use crate::{concurrency_limit, server_health};

/// State of one backend server of a plain service at this instance.
#[derive(Clone, Debug)]
pub struct ServerEndpoint {
    /// Whether the server is in this instance's data centre.
    pub same_data_centre: bool,
    /// Whether the server is in this instance's region.
    pub same_region: bool,
    /// Whether the server is draining and accepts no new calls.
    pub draining: bool,
    /// Number of calls of this instance in flight at the server.
    pub in_flight: u32,
    /// Limit on calls in flight.
    pub limit: concurrency_limit::ConcurrencyLimit,
    /// Health of the server, with its ejections.
    pub health: server_health::ServerHealth,
}

impl ServerEndpoint {
    /// Returns the number of calls that may be in flight at `now`.
    pub fn allowed(&self, now: clock::Timestamp) -> f64 {
        let share = self.health.share(now);
        if self.draining || share <= 0.0 {
            return 0.0;
        }
        (self.limit.allowed() * share).max(1.0)
    }

    /// Returns whether the server has capacity for another call.
    pub fn has_capacity(&self, now: clock::Timestamp) -> bool {
        f64::from(self.in_flight) + 1.0 <= self.allowed(now)
    }

    /// Records a successful call.
    pub fn succeeded(&mut self, now: clock::Timestamp, latency: time::Duration) {
        self.limit.succeeded(now, latency, self.in_flight);
        self.health.succeeded(now);
    }
}
