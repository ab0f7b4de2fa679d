//! Recent usage of each workspace, for fair sharing.

use std::{collections, time};

/// Time in which recorded usage loses half of its weight.
const HALF_LIFE: time::Duration = time::Duration::from_secs(10);

/// Ratio of usage to fair share above which a workspace is queued behind the others.
const OVER_FACTOR: f64 = 1.25;

/// Fraction of the total usage below which a workspace counts as idle.
const IDLE_SHARE: f64 = 1e-4;

/// Number of half-lives after which the stored figures are rescaled.
const RESCALE_HALF_LIVES: f64 = 20.0;

/// Usage and weight of one workspace; the usage is scaled to the common epoch.
#[derive(Clone, Copy, Debug)]
struct WorkspaceUsage {
    used: f64,
    weight: f64,
}

/// Recent usage of each workspace with exponential decay.
///
/// Instead of decaying every entry, new usage is scaled up relative to a common epoch.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceShares {
    usages: collections::BTreeMap<ids::WorkspaceName, WorkspaceUsage>,
    total: f64,
    total_weight: f64,
    epoch: clock::Timestamp,
}

impl WorkspaceShares {
    /// Adds usage of a workspace; `cost` is in output token equivalents.
    pub fn add(
        &mut self,
        now: clock::Timestamp,
        workspace: &ids::WorkspaceName,
        weight: u32,
        cost: f64,
    ) {
        let mut scale = self.scale(now);
        if scale > RESCALE_HALF_LIVES.exp2() {
            self.rescale(now, scale);
            scale = 1.0;
        }
        let weight = f64::from(weight.max(1));
        let entry = self
            .usages
            .entry(workspace.clone())
            .or_insert(WorkspaceUsage {
                used: 0.0,
                weight: 0.0,
            });
        self.total_weight += weight - entry.weight;
        entry.weight = weight;
        entry.used += cost * scale;
        self.total += cost * scale;
    }

    /// Returns whether the workspace has used more than `OVER_FACTOR` times its fair share among the
    /// active workspaces.
    #[must_use]
    pub fn is_over(&self, workspace: &ids::WorkspaceName) -> bool {
        let Some(entry) = self.usages.get(workspace) else {
            return false;
        };
        if self.usages.len() < 2 {
            return false;
        }
        let fair = self.total * entry.weight / self.total_weight.max(f64::MIN_POSITIVE);
        entry.used > fair * OVER_FACTOR
    }

    fn scale(&self, now: clock::Timestamp) -> f64 {
        (now.since(self.epoch).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn rescale(&mut self, now: clock::Timestamp, scale: f64) {
        let threshold = self.total * IDLE_SHARE;
        self.usages.retain(|_, entry| entry.used >= threshold);
        for entry in self.usages.values_mut() {
            entry.used /= scale;
        }
        self.total = self.usages.values().map(|entry| entry.used).sum();
        self.total_weight = self.usages.values().map(|entry| entry.weight).sum();
        self.epoch = now;
    }
}
