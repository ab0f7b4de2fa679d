//! The configuration in force.

use std::{collections, time};

use crate::{route_rule, service_rule};

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RequestBounds {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time that an unused connection is kept.
    pub idle_timeout: time::Duration,
}

impl Default for RequestBounds {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle_timeout: time::Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SiteConfig {
    /// Version; a later configuration has a larger one.
    pub version: u64,
    /// Routes in the order of the document.
    pub routes: Vec<route_rule::RouteRule>,
    /// Services by name.
    pub services: collections::BTreeMap<ids::ServiceName, service_rule::ServiceRule>,
    /// Bounds on what callers may send.
    pub bounds: RequestBounds,
}

impl SiteConfig {
    /// Returns the route of a host with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&route_rule::RouteRule> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}
