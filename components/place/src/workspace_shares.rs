//! What each workspace has used lately.

use std::{collections, time};

/// Time in which use loses half of its weight.
const HALF_LIFE: time::Duration = time::Duration::from_secs(10);

/// Factor above its fair share at which a workspace goes behind the others.
const OVER_FACTOR: f64 = 1.25;

/// Share of the total below which a workspace counts as idle.
const IDLE_SHARE: f64 = 1e-4;

/// Half-lives after which the stored figures are scaled back.
const RESCALE_HALF_LIVES: f64 = 20.0;

/// Use of one workspace, in the scaled unit of the table.
#[derive(Clone, Copy, Debug)]
struct ShareUse {
    used: f64,
    weight: f64,
}

/// What each workspace has used lately, with older use fading.
///
/// Instead of fading every entry, later use is scaled up against a common epoch.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceShares {
    uses: collections::BTreeMap<ids::WorkspaceName, ShareUse>,
    total: f64,
    weights: f64,
    epoch: clock::Timestamp,
}

impl WorkspaceShares {
    /// Adds use to a workspace.
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
        let entry = self.uses.entry(workspace.clone()).or_insert(ShareUse {
            used: 0.0,
            weight: 0.0,
        });
        self.weights += weight - entry.weight;
        entry.weight = weight;
        entry.used += cost * scale;
        self.total += cost * scale;
    }

    /// Returns whether the workspace has had more than its share among the active ones.
    #[must_use]
    pub fn is_over(&self, workspace: &ids::WorkspaceName) -> bool {
        let Some(entry) = self.uses.get(workspace) else {
            return false;
        };
        if self.uses.len() < 2 {
            return false;
        }
        let fair = self.total * entry.weight / self.weights.max(f64::MIN_POSITIVE);
        entry.used > fair * OVER_FACTOR
    }

    fn scale(&self, now: clock::Timestamp) -> f64 {
        (now.since(self.epoch).as_secs_f64() / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn rescale(&mut self, now: clock::Timestamp, scale: f64) {
        let least = self.total * IDLE_SHARE;
        self.uses.retain(|_, entry| entry.used >= least);
        for entry in self.uses.values_mut() {
            entry.used /= scale;
        }
        self.total = self.uses.values().map(|entry| entry.used).sum();
        self.weights = self.uses.values().map(|entry| entry.weight).sum();
        self.epoch = now;
    }
}
