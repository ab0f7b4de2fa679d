//! Limits of all workspaces.
//!
//! Answers a workspace that asks for more than its limit, at one instance or at all, while updates are
//! late, lost or doubled, instances are out of touch, killed and started, and limits change: the work
//! that all instances admit together keeps to the limit, and what the limit allows can be used wherever
//! it is asked for.

use std::{collections, net, sync, time};

use crate::{limit_refusal, site_config, spend_report, workspace_budget};

/// Time for which the counts of a workspace without a limit are kept, so that a limit that returns
/// continues them.
const UNLISTED_MEMORY: time::Duration = time::Duration::from_secs(60);

/// Time after the start of a process from which a limit that a configuration adds is a new one: what
/// was drawn before the start no longer matters.
const FRESH_TIME: time::Duration = time::Duration::from_secs(8);

/// Time after the return of an instance for which its draws count as those of one that was out of
/// touch.
const RETURN_TIME: time::Duration = time::Duration::from_secs(1);

/// Largest number of changed workspaces in a state update.
const MAX_CHANGED: usize = 48;

/// Number of further workspaces in a full state update.
const ROTATION_SIZE: usize = 16;

/// Time after a change for which full updates repeat it.
const REPEAT_TIME: time::Duration = time::Duration::from_secs(16);

/// Limits of all workspaces, by [`spend_report::workspace_hash`].
#[derive(Debug)]
pub struct WorkspaceLimits {
    budgets: collections::BTreeMap<u64, workspace_budget::WorkspaceBudget>,
    /// Configuration from which the limits were taken.
    config: Option<sync::Arc<site_config::SiteConfig>>,
    /// Share of the limits that the instances in touch use.
    share: f64,
    /// Workspaces with units that the others don't know of yet.
    unsent: collections::VecDeque<u64>,
    /// Last workspace of the rotation.
    rotated: u64,
    /// Instances that were out of touch until recently, with the times of their return.
    returned: collections::BTreeMap<net::Ipv4Addr, clock::Timestamp>,
}

impl Default for WorkspaceLimits {
    fn default() -> Self {
        Self {
            budgets: collections::BTreeMap::new(),
            config: None,
            share: 1.0,
            unsent: collections::VecDeque::new(),
            rotated: 0,
            returned: collections::BTreeMap::new(),
        }
    }
}

impl WorkspaceLimits {
    /// Returns whether no workspace has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    /// Returns the workspaces that have a limit, with what is drawn on it.
    pub(crate) fn budgets(&self) -> impl Iterator<Item = &workspace_budget::WorkspaceBudget> {
        self.budgets.values()
    }

    /// Takes the limits from a configuration, unless they were taken from it already.
    pub(crate) fn configure(
        &mut self,
        now: clock::Timestamp,
        config: &sync::Arc<site_config::SiteConfig>,
    ) {
        let known = self.config.as_ref();
        let is_known = known.is_some_and(|known| sync::Arc::ptr_eq(known, config));
        if is_known || config.workspaces.is_unknown() {
            return;
        }
        for budget in self.budgets.values_mut() {
            budget.unlisted_since.get_or_insert(now);
        }
        for rule in config.workspaces.rules() {
            let limit = rule.limit.filter(|limit| limit.rate > 0.0);
            if let Some(limit) = limit {
                self.set_limit(now, rule, limit);
            }
        }
        self.budgets.retain(|_, budget| {
            let unlisted = budget.unlisted_since;
            unlisted.is_none_or(|since| now.since(since) < UNLISTED_MEMORY)
        });
        self.config = Some(sync::Arc::clone(config));
    }

    fn set_limit(
        &mut self,
        now: clock::Timestamp,
        rule: &workspace::WorkspaceRule,
        limit: workspace::TokenLimit,
    ) {
        let share = self.share;
        let is_unused =
            self.config.is_some() && now.since(clock::Timestamp::default()) >= FRESH_TIME;
        let budget = self
            .budgets
            .entry(spend_report::workspace_hash(&rule.name))
            .or_insert_with(|| {
                workspace_budget::WorkspaceBudget::new(
                    now,
                    rule.name.clone(),
                    limit,
                    share,
                    is_unused,
                )
            });
        budget.set_limit(now, limit);
    }

    /// Sets the share of the limits that the instances in touch use.
    pub(crate) fn set_share(&mut self, now: clock::Timestamp, share: f64) {
        if (share - self.share).abs() < f64::EPSILON {
            return;
        }
        self.share = share;
        for budget in self.budgets.values_mut() {
            budget.shared.set_share(now, share);
        }
    }

    /// Returns the budget of a workspace whose limit is in force.
    pub(crate) fn budget_mut(
        &mut self,
        workspace: &ids::WorkspaceName,
    ) -> Option<&mut workspace_budget::WorkspaceBudget> {
        self.budgets
            .get_mut(&spend_report::workspace_hash(workspace))
            .filter(|budget| budget.unlisted_since.is_none())
    }

    /// Gives back what a request has drawn.
    pub(crate) fn give_back(
        &mut self,
        now: clock::Timestamp,
        charge: limit_refusal::WorkspaceCharge,
    ) {
        if let Some(budget) = self.budgets.get_mut(&charge.workspace) {
            budget.give_back(now, charge.units);
            self.mark_unsent(charge.workspace);
        }
    }

    /// Records that the others are to be told of a workspace's spending.
    pub(crate) fn mark_unsent(&mut self, workspace: u64) {
        let Some(budget) = self.budgets.get_mut(&workspace) else {
            return;
        };
        if !budget.is_unsent {
            budget.is_unsent = true;
            self.unsent.push_back(workspace);
        }
    }

    /// Records that an instance that was out of touch has sent an update.
    pub(crate) fn record_return(&mut self, now: clock::Timestamp, address: net::Ipv4Addr) {
        self.returned.retain(|_, at| now.since(*at) < RETURN_TIME);
        self.returned.insert(address, now);
    }

    /// Applies the reports of another process.
    pub(crate) fn apply_reports(
        &mut self,
        now: clock::Timestamp,
        source: budget::DrawSource,
        reports: &[spend_report::SpendReport],
    ) {
        let returned = self.returned.get(&source.address);
        let has_returned = returned.is_some_and(|at| now.since(*at) < RETURN_TIME);
        for report in reports {
            if let Some(budget) = self.budgets.get_mut(&report.workspace) {
                let shared = &mut budget.shared;
                shared.apply_count(now, source, report.count, has_returned);
            }
        }
    }

    /// Returns and clears the reports on workspaces that the others don't know of yet, up to a number
    /// that a state update holds.
    pub(crate) fn take_changed(&mut self, now: clock::Timestamp) -> Vec<spend_report::SpendReport> {
        let count = self.unsent.len().min(MAX_CHANGED);
        let changed: Vec<u64> = self.unsent.drain(..count).collect();
        let mut reports = Vec::with_capacity(changed.len());
        for workspace in changed {
            if let Some(budget) = self.budgets.get_mut(&workspace) {
                budget.is_unsent = false;
                reports.push(report(now, workspace, budget));
            }
        }
        reports
    }

    /// Returns the reports for a full state update: the workspaces with the newest draws, and some of
    /// the others by turns.
    pub(crate) fn full_reports(&mut self, now: clock::Timestamp) -> Vec<spend_report::SpendReport> {
        let mut reports = self.take_changed(now);
        let mut recent: Vec<_> = self
            .budgets
            .iter()
            .filter_map(|(workspace, budget)| Some((budget.changed_at?, *workspace)))
            .filter(|(changed_at, _)| now.since(*changed_at) < REPEAT_TIME)
            .collect();
        recent.sort_unstable();
        let newest = recent.into_iter().rev().map(|(_, workspace)| workspace);
        let mut others: Vec<u64> = newest.take(MAX_CHANGED).collect();
        others.extend(self.rotate());
        for workspace in others {
            let is_listed = reports.iter().any(|report| report.workspace == workspace);
            let budget = self.budgets.get(&workspace).filter(|_| !is_listed);
            reports.extend(budget.map(|budget| report(now, workspace, budget)));
        }
        reports
    }

    /// Returns the next workspaces of the rotation through those that this instance has drawn on.
    fn rotate(&mut self) -> Vec<u64> {
        let after = self.budgets.range(self.rotated.saturating_add(1)..);
        let drawn = after.filter(|(_, budget)| budget.changed_at.is_some());
        let next: Vec<u64> = drawn
            .map(|(workspace, _)| *workspace)
            .take(ROTATION_SIZE)
            .collect();
        self.rotated = next.last().copied().unwrap_or(0);
        next
    }
}

fn report(
    now: clock::Timestamp,
    workspace: u64,
    budget: &workspace_budget::WorkspaceBudget,
) -> spend_report::SpendReport {
    spend_report::SpendReport {
        workspace,
        count: budget.shared.count(now),
    }
}
