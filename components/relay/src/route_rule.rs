//! Route of the configuration in force.

use std::time;

use crate::request_kind;

/// Share of a route's requests that is sent to one service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServiceShare {
    /// Service that receives the share.
    pub service: ids::ServiceName,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Route of the configuration in force.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
pub struct RouteRule {
    /// Name of the route.
    #[builder(into)]
    pub name: String,
    /// Host of the request, in lower case.
    #[builder(into)]
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    #[builder(into)]
    pub prefix: String,
    /// Retry semantics of the requests.
    pub kind: request_kind::RequestKind,
    /// Longest time until a request is answered, from which its deadline follows.
    pub timeout: time::Duration,
    /// Largest time until the answer, or its first token, that counts as on time.
    pub latency_target: time::Duration,
    /// Priority among the routes; 0 is the highest.
    #[builder(default)]
    pub priority: u8,
    /// Services with their shares of the requests; never empty.
    pub shares: Vec<ServiceShare>,
    /// Largest number of backend servers that may run one request.
    #[builder(default = 1)]
    pub attempt_limit: u32,
    /// Whether a broken stream may resume on another engine.
    #[builder(default)]
    pub resumable: bool,
    /// Whether requests without a key are served, where keys are needed otherwise.
    #[builder(default)]
    #[serde(default)]
    pub anonymous: bool,
}

impl RouteRule {
    /// Returns whether a request of this route may run again after an attempt that may have run it.
    #[must_use]
    pub fn may_run_again(&self) -> bool {
        match self.kind {
            request_kind::RequestKind::Idempotent => true,
            request_kind::RequestKind::NonIdempotent => false,
            request_kind::RequestKind::Streaming => self.resumable,
        }
    }

    /// Returns the service for a random number `draw` in `0..1`, by weight.
    #[must_use]
    pub fn service_for(&self, draw: f64) -> Option<&ids::ServiceName> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = draw * f64::from(total);
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}
