//! A route of the configuration in force.

use std::time;

use crate::request_kind;

/// A share of a route's requests that goes to one service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ids::ServiceName,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// A route of the configuration in force.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize)]
pub struct RouteRule {
    /// Name of the route.
    #[builder(into)]
    pub name: String,
    /// Host that the request names, in lower case.
    #[builder(into)]
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    #[builder(into)]
    pub prefix: String,
    /// What may be repeated.
    pub kind: request_kind::RequestKind,
    /// Longest time that a request is kept waiting.
    pub timeout: time::Duration,
    /// Time until the answer, or its first token, that is still on time.
    pub latency_target: time::Duration,
    /// Rank among the routes, 0 first.
    #[builder(default)]
    pub priority: u8,
    /// Services and their shares of the requests; never empty.
    pub shares: Vec<ServiceShare>,
    /// Most backend servers that may run one request.
    #[builder(default = 1)]
    pub attempt_limit: u32,
    /// Whether a broken stream may go on at another engine.
    #[builder(default)]
    pub resumable: bool,
}

impl RouteRule {
    /// Returns whether a request of this route may run again after it may have run.
    #[must_use]
    pub fn may_run_again(&self) -> bool {
        match self.kind {
            request_kind::RequestKind::Idempotent => true,
            request_kind::RequestKind::NonIdempotent => false,
            request_kind::RequestKind::Streaming => self.resumable,
        }
    }

    /// Returns the service for a draw in `0..1`.
    #[must_use]
    pub fn service_for(&self, draw: f64) -> Option<&ids::ServiceName> {
        let total: u32 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw * f64::from(total);
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.shares.last().map(|share| &share.service)
    }
}
