//! Metrics by workspace, bounded in number.

use std::{collections, sync, sync::atomic};

use prometheus_client::{
    metrics::{counter, family, gauge},
    registry,
};

/// Largest number of workspaces that are counted each on its own.
const MAX_NAMED: usize = 64;

/// Label of the workspaces beyond the first [`MAX_NAMED`].
const OTHERS: &str = "others";

/// Labels of a finished request of a workspace.
#[derive(Clone, Debug, Eq, Hash, PartialEq, prometheus_client::encoding::EncodeLabelSet)]
struct WorkspaceLabels {
    workspace: String,
    outcome: String,
}

/// Label of a workspace.
#[derive(Clone, Debug, Eq, Hash, PartialEq, prometheus_client::encoding::EncodeLabelSet)]
struct WorkspaceLabel {
    workspace: String,
}

type GaugeFamily = family::Family<WorkspaceLabel, gauge::Gauge<f64, atomic::AtomicU64>>;

/// Metrics by workspace: those of the first workspaces that ask, the others together.
#[derive(Debug, Default)]
pub(crate) struct WorkspaceMetrics {
    requests: family::Family<WorkspaceLabels, counter::Counter>,
    units: family::Family<WorkspaceLabel, counter::Counter>,
    spending: GaugeFamily,
    limits: GaugeFamily,
    /// Workspaces that are counted each on its own.
    named: sync::RwLock<collections::HashSet<ids::WorkspaceName>>,
}

impl WorkspaceMetrics {
    /// Adds the metrics to a registry.
    pub(crate) fn register(&self, registry: &mut registry::Registry) {
        registry.register(
            "relay_workspace_requests",
            "Requests by workspace and outcome",
            self.requests.clone(),
        );
        registry.register(
            "relay_workspace_units",
            "Tokens or requests that this instance has charged to a workspace",
            self.units.clone(),
        );
        registry.register(
            "relay_workspace_spending",
            "Units a second that all instances charge to a workspace, for those that spend the most",
            self.spending.clone(),
        );
        registry.register(
            "relay_workspace_limit",
            "Limits in units a second of those workspaces",
            self.limits.clone(),
        );
    }

    /// Counts a finished request of a workspace.
    pub(crate) fn ended(&self, workspace: &ids::WorkspaceName, outcome: &str) {
        let labels = WorkspaceLabels {
            workspace: self.label(workspace).to_owned(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts the units of a request that a workspace is charged.
    pub(crate) fn charged(&self, workspace: &ids::WorkspaceName, units: u32) {
        let label = WorkspaceLabel {
            workspace: self.label(workspace).to_owned(),
        };
        self.units.get_or_create(&label).inc_by(units.into());
    }

    /// Updates the gauges from the state of the core.
    pub(crate) fn update_gauges(&self, core: &relay::RelayCore, now: clock::Timestamp) {
        self.spending.clear();
        self.limits.clear();
        for spending in core.spending(now, MAX_NAMED) {
            let label = WorkspaceLabel {
                workspace: spending.workspace.to_string(),
            };
            self.spending.get_or_create(&label).set(spending.spending);
            self.limits.get_or_create(&label).set(spending.rate);
        }
    }

    /// Returns the label of a workspace.
    fn label<'a>(&self, workspace: &'a ids::WorkspaceName) -> &'a str {
        let is_named = |named: &collections::HashSet<_>| named.contains(workspace);
        if self.named.read().is_ok_and(|named| is_named(&named)) {
            return workspace.as_str();
        }
        let Ok(mut named) = self.named.write() else {
            return OTHERS;
        };
        if named.len() >= MAX_NAMED && !is_named(&named) {
            return OTHERS;
        }
        named.insert(workspace.clone());
        workspace.as_str()
    }
}
