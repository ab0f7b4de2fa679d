//! Usage of services by workspaces, over all instances.
//!
//! Answers a load in which one workspace asks for many times its usual amount: each instance counts the
//! tokens that it places for each workspace, learns the counts of the others from state updates, and
//! derives which workspaces are above their fair share of a service.

use std::{cmp, collections, sync, time};

use crate::{decayed_count, service_shares, share_report, workspace_key};

/// Largest number of counts in a full state update.
const MAX_FULL_REPORTS: usize = 64;

/// Largest number of counts in a partial state update.
const MAX_PARTIAL_REPORTS: usize = 16;

/// Age at which the usage over all instances is recomputed.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Weight of a workspace without a limit.
const DEFAULT_WEIGHT: service_shares::ShareWeight = service_shares::ShareWeight {
    weight: 1.0,
    priority: None,
};

/// Smallest weight of a workspace.
const MIN_WEIGHT: f64 = 0.001;

/// Counted usage by one workspace of a service.
type UsageKey = (u64, workspace_key::WorkspaceKey);

/// Share of a workspace in the recent usage of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspaceShare {
    /// Part of the usage of all workspaces, between 0 and 1.
    pub used: f64,
    /// Part that the workspace is owed when all active workspaces want more, between 0 and 1.
    pub fair: f64,
}

/// Workspace of the configuration.
#[derive(Clone, Debug)]
struct KnownWorkspace {
    name: ids::WorkspaceName,
    weight: service_shares::ShareWeight,
}

/// Usage of services by workspaces, over all instances.
#[derive(Debug, Default)]
pub(crate) struct ShareRegistry {
    /// Workspaces of the configuration in force.
    table: sync::Arc<workspace::WorkspaceTable>,
    /// Workspaces by key; empty where requests aren't shared out.
    known: collections::BTreeMap<workspace_key::WorkspaceKey, KnownWorkspace>,
    /// Counts of this instance.
    own: collections::BTreeMap<UsageKey, decayed_count::DecayedCount>,
    /// Own counts that have grown since the last state update.
    grown: collections::BTreeSet<UsageKey>,
    /// Usage over all instances, as of the last refresh, by the hash of the service.
    services: collections::BTreeMap<u64, service_shares::ServiceShares>,
    /// Time of the last refresh; `None` if another one is due.
    refreshed_at: Option<clock::Timestamp>,
    /// Whether all instances in touch order requests by share.
    is_common: bool,
}

impl ShareRegistry {
    /// Replaces the workspaces of the configuration.
    pub(crate) fn set_workspaces(&mut self, table: &sync::Arc<workspace::WorkspaceTable>) {
        if sync::Arc::ptr_eq(&self.table, table) {
            return;
        }
        let rates = MeanRates::of(table);
        let known = table.rules().iter().map(|rule| {
            let known = KnownWorkspace {
                name: rule.name.clone(),
                weight: service_shares::ShareWeight {
                    weight: rates.weight(rule.limit),
                    priority: rule.priority,
                },
            };
            (workspace_key::WorkspaceKey::of(&rule.name), known)
        });
        self.known = known.collect();
        self.table = sync::Arc::clone(table);
        self.refreshed_at = None;
        if self.known.is_empty() {
            self.own.clear();
            self.grown.clear();
            self.services.clear();
        }
    }

    /// Returns whether the configuration names workspaces.
    pub(crate) fn has_workspaces(&self) -> bool {
        !self.known.is_empty()
    }

    /// Returns whether waiting requests are ordered by share.
    pub(crate) fn is_in_force(&self) -> bool {
        self.is_common && self.has_workspaces()
    }

    /// Returns the shares of a service, by its hash.
    pub(crate) fn service(&self, service: u64) -> Option<&service_shares::ServiceShares> {
        self.services.get(&service)
    }

    /// Counts a placed request.
    pub(crate) fn record(
        &mut self,
        now: clock::Timestamp,
        service: u64,
        workspace: workspace_key::WorkspaceKey,
        tokens: u32,
    ) {
        if !self.has_workspaces() {
            return;
        }
        let tokens = f64::from(tokens);
        self.own
            .entry((service, workspace))
            .or_insert_with(|| decayed_count::DecayedCount::new(now, 0.0))
            .add(now, tokens);
        self.grown.insert((service, workspace));
        self.add(service, workspace, tokens);
    }

    /// Returns whether the usage over all instances is outdated.
    pub(crate) fn is_outdated(&self, now: clock::Timestamp) -> bool {
        let is_fresh = |at| now.since(at) < REFRESH_INTERVAL;
        self.has_workspaces() && !self.refreshed_at.is_some_and(is_fresh)
    }

    /// Starts a recomputation of the usage over all instances: it holds the usage of this instance
    /// afterwards.
    ///
    /// `services` are hashes of services with the mean number of tokens of a request.
    pub(crate) fn refresh(
        &mut self,
        now: clock::Timestamp,
        is_common: bool,
        services: impl Iterator<Item = (u64, f64)>,
    ) {
        self.refreshed_at = Some(now);
        self.is_common = is_common;
        self.services = services
            .map(|(service, tokens)| (service, service_shares::ServiceShares::new(tokens)))
            .collect();
        self.own
            .retain(|_, count| service_shares::ServiceShares::is_active(count.value(now)));
        let own: Vec<_> = self.own.iter().map(|(key, count)| (*key, *count)).collect();
        for ((service, workspace), count) in own {
            self.add(service, workspace, count.value(now));
        }
    }

    /// Adds usage by a workspace; usage of 0 makes it active, since it has waiting requests.
    pub(crate) fn add(
        &mut self,
        service: u64,
        workspace: workspace_key::WorkspaceKey,
        tokens: f64,
    ) {
        let known = self.known.get(&workspace);
        let weight = known.map_or(DEFAULT_WEIGHT, |known| known.weight);
        if let Some(shares) = self.services.get_mut(&service) {
            shares.add(workspace, weight, tokens);
        }
    }

    /// Returns the largest counts of this instance, for a full state update.
    pub(crate) fn full_reports(&mut self, now: clock::Timestamp) -> Vec<share_report::ShareReport> {
        self.grown.clear();
        let reports = self.own.iter().map(|(key, count)| report(now, *key, count));
        largest(reports.collect(), MAX_FULL_REPORTS)
    }

    /// Returns the counts of this instance that have grown since the last state update.
    pub(crate) fn grown_reports(
        &mut self,
        now: clock::Timestamp,
    ) -> Vec<share_report::ShareReport> {
        let grown = std::mem::take(&mut self.grown);
        let counts = grown
            .into_iter()
            .filter_map(|key| Some((key, self.own.get(&key)?)));
        let reports = counts.map(|(key, count)| report(now, key, count));
        largest(reports.collect(), MAX_PARTIAL_REPORTS)
    }

    /// Returns the share of a workspace in the recent usage of a service.
    pub(crate) fn share(
        &self,
        service: u64,
        workspace: workspace_key::WorkspaceKey,
    ) -> WorkspaceShare {
        let shares = self.services.get(&service);
        let (used, fair) = shares.map_or((0.0, 0.0), |shares| shares.share(workspace));
        WorkspaceShare { used, fair }
    }

    /// Returns the shares of the `limit` workspaces of the configuration with the largest usage of a
    /// service, by name.
    pub(crate) fn largest_shares(
        &self,
        service: u64,
        limit: usize,
    ) -> Vec<(ids::WorkspaceName, WorkspaceShare)> {
        let shares = self.services.get(&service);
        let active = shares
            .into_iter()
            .flat_map(service_shares::ServiceShares::all);
        let mut named: Vec<_> = active
            .filter_map(|(workspace, (used, fair))| {
                let known = self.known.get(&workspace)?;
                Some((known.name.clone(), WorkspaceShare { used, fair }))
            })
            .collect();
        named.sort_by(|(_, left), (_, right)| right.used.total_cmp(&left.used));
        named.truncate(limit);
        named
    }
}

/// Mean rates of the limits of a configuration.
struct MeanRates {
    requests: f64,
    tokens: f64,
}

impl MeanRates {
    fn of(table: &workspace::WorkspaceTable) -> Self {
        let mean = |unit| {
            let limits = table.rules().iter().filter_map(|rule| rule.limit);
            let (count, sum) = limits
                .filter(|limit| limit.unit == unit)
                .fold((0.0, 0.0), |(count, sum), limit| {
                    (count + 1.0, sum + limit.rate)
                });
            sum / count
        };
        Self {
            requests: mean(workspace::LimitUnit::Requests),
            tokens: mean(workspace::LimitUnit::Tokens),
        }
    }

    /// Returns the weight of a workspace: the rate of its limit relative to the mean of those that count in
    /// the same unit.
    fn weight(&self, limit: Option<workspace::TokenLimit>) -> f64 {
        let weight = limit.map_or(DEFAULT_WEIGHT.weight, |limit| {
            let mean = match limit.unit {
                workspace::LimitUnit::Requests => self.requests,
                workspace::LimitUnit::Tokens => self.tokens,
            };
            limit.rate / mean
        });
        if weight.is_finite() {
            weight.max(MIN_WEIGHT)
        } else {
            DEFAULT_WEIGHT.weight
        }
    }
}

fn report(
    now: clock::Timestamp,
    (service, workspace): UsageKey,
    count: &decayed_count::DecayedCount,
) -> share_report::ShareReport {
    share_report::ShareReport {
        service,
        workspace,
        tokens: count.value(now) as u32,
    }
}

fn largest(
    mut reports: Vec<share_report::ShareReport>,
    limit: usize,
) -> Vec<share_report::ShareReport> {
    reports.sort_by_key(|report| cmp::Reverse(report.tokens));
    reports.truncate(limit);
    reports
}
