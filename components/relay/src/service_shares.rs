//! Usage of one service by its workspaces, and the share that each is owed.

use std::collections;

use crate::{share_step, workspace_key};

/// Share of its fair part below which a workspace's requests stand with those of the highest priority.
const PRIORITY_FLOOR: f64 = 0.25;

/// Usage below which a workspace without waiting requests no longer counts as active, in tokens.
const IDLE_TOKENS: f64 = 1.0;

/// Weight and priority of a workspace.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShareWeight {
    /// Weight relative to the mean of the workspaces.
    pub(crate) weight: f64,
    /// Priority of the workspace, if it has one of its own.
    pub(crate) priority: Option<u8>,
}

/// Usage by one active workspace.
#[derive(Clone, Copy, Debug)]
struct WorkspaceUsage {
    workspace: workspace_key::WorkspaceKey,
    tokens: f64,
    weight: ShareWeight,
}

/// Usage and weights of several workspaces together.
#[derive(Clone, Copy, Debug, Default)]
struct UsageSum {
    tokens: f64,
    weight: f64,
}

impl UsageSum {
    /// Returns the usage for a unit of weight.
    fn level(self) -> f64 {
        if self.weight > 0.0 {
            self.tokens / self.weight
        } else {
            0.0
        }
    }
}

/// Position of a request in the order of shares.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct SharePosition {
    /// Step of the request.
    pub(crate) step: share_step::ShareStep,
    /// Whether the workspace gets so little that its priority doesn't count.
    pub(crate) below_floor: bool,
}

/// Usage of one service by the active workspaces, and the share that each is owed.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceShares {
    usage: Vec<WorkspaceUsage>,
    /// Positions in `usage`.
    positions: nohash_hasher::IntMap<workspace_key::WorkspaceKey, usize>,
    total: UsageSum,
    /// Sums of the workspaces of each own priority.
    by_priority: collections::BTreeMap<u8, UsageSum>,
    /// Usage by which a workspace may exceed any share, since requests are indivisible, in tokens.
    request_tokens: f64,
}

impl ServiceShares {
    /// Creates the shares of a service whose requests have `request_tokens` tokens on average.
    pub(crate) fn new(request_tokens: f64) -> Self {
        Self {
            request_tokens,
            ..Self::default()
        }
    }

    /// Adds usage by a workspace, which is active from then on.
    pub(crate) fn add(
        &mut self,
        workspace: workspace_key::WorkspaceKey,
        weight: ShareWeight,
        tokens: f64,
    ) {
        let active = self.usage.len();
        let position = *self.positions.entry(workspace).or_insert(active);
        let mut added = 0.0;
        if position == active {
            added = weight.weight;
            self.usage.push(WorkspaceUsage {
                workspace,
                tokens: 0.0,
                weight,
            });
        }
        if let Some(usage) = self.usage.get_mut(position) {
            usage.tokens += tokens;
        }
        let group = weight
            .priority
            .map(|priority| self.by_priority.entry(priority).or_default());
        for sum in group.into_iter().chain([&mut self.total]) {
            sum.tokens += tokens;
            sum.weight += added;
        }
    }

    /// Returns whether usage of `tokens` makes a workspace active.
    pub(crate) fn is_active(tokens: f64) -> bool {
        tokens >= IDLE_TOKENS
    }

    /// Returns the number of active workspaces.
    pub(crate) const fn len(&self) -> usize {
        self.usage.len()
    }

    /// Returns the index of an active workspace, below [`Self::len`].
    pub(crate) fn index(&self, workspace: workspace_key::WorkspaceKey) -> Option<usize> {
        self.positions.get(&workspace).copied()
    }

    /// Returns the position of a request of the workspace with an index behind `ahead` tokens of the
    /// workspace's other waiting requests.
    pub(crate) fn position(&self, index: usize, ahead: f64) -> SharePosition {
        let Some(usage) = self.usage.get(index) else {
            return SharePosition::default();
        };
        let level = self.total.level();
        let fair_tokens = usage.weight.weight * level;
        let start = usage.tokens + ahead;
        let group = usage.weight.priority;
        let group = group.and_then(|priority| self.by_priority.get(&priority));
        let floor = level * PRIORITY_FLOOR;
        let group_is_below = group.is_some_and(|group| group.level() < floor);
        SharePosition {
            step: share_step::ShareStep::of(start / fair_tokens.max(self.request_tokens).max(1.0)),
            below_floor: group_is_below && start < fair_tokens * PRIORITY_FLOOR,
        }
    }

    /// Returns the part of all usage that is the workspace's, and the part that it is owed; both 0 for an
    /// idle workspace.
    pub(crate) fn share(&self, workspace: workspace_key::WorkspaceKey) -> (f64, f64) {
        let usage = self
            .index(workspace)
            .and_then(|index| self.usage.get(index));
        usage.map_or((0.0, 0.0), |usage| self.parts(usage))
    }

    /// Returns the active workspaces with the parts of [`Self::share`].
    pub(crate) fn all(
        &self,
    ) -> impl Iterator<Item = (workspace_key::WorkspaceKey, (f64, f64))> + '_ {
        self.usage
            .iter()
            .map(|usage| (usage.workspace, self.parts(usage)))
    }

    fn parts(&self, usage: &WorkspaceUsage) -> (f64, f64) {
        let used = usage.tokens / self.total.tokens.max(IDLE_TOKENS);
        (used, usage.weight.weight / self.total.weight)
    }
}
