//! Configuration of the platform.

use std::{collections, sync, time};

use crate::{route_rule, service_rule};

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RequestBounds {
    /// Largest request head in bytes.
    pub head_bytes: usize,
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Time after which an idle connection is closed.
    pub idle_timeout: time::Duration,
    /// Time from the first byte of a head until it is whole; the default in the views of instances of
    /// earlier releases.
    #[serde(default = "default_head_timeout")]
    pub head_timeout: time::Duration,
}

/// Time for a head where the configuration names none.
const fn default_head_timeout() -> time::Duration {
    time::Duration::from_secs(15)
}

impl Default for RequestBounds {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            idle_timeout: time::Duration::from_secs(15),
            head_timeout: default_head_timeout(),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct SiteConfig {
    /// Version, which increases with each configuration.
    pub version: u64,
    /// Routes in the order of the configuration document.
    pub routes: Vec<route_rule::RouteRule>,
    /// Services by name.
    pub services: collections::BTreeMap<ids::ServiceName, service_rule::ServiceRule>,
    /// Limits on requests and connections of callers.
    pub bounds: RequestBounds,
    /// Workspaces; empty where requests need no keys, unknown in the views of instances of earlier
    /// releases.
    #[serde(default = "unknown_workspaces", skip_serializing_if = "is_unknown")]
    pub workspaces: sync::Arc<workspace::WorkspaceTable>,
}

impl SiteConfig {
    /// Returns the longest timeout of a route; a request can't be served after it.
    #[must_use]
    pub fn longest_timeout(&self) -> Option<time::Duration> {
        self.routes.iter().map(|route| route.timeout).max()
    }

    /// Returns the route of the host with the longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&route_rule::RouteRule> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}

fn unknown_workspaces() -> sync::Arc<workspace::WorkspaceTable> {
    sync::Arc::new(workspace::WorkspaceTable::unknown())
}

fn is_unknown(workspaces: &sync::Arc<workspace::WorkspaceTable>) -> bool {
    workspaces.is_unknown()
}
