//! Shares of workspaces in the capacity of engines.
//!
//! Answers overload to which workspaces contribute unequally: waiting requests of one priority are ordered
//! by how far their workspace is above its fair share of what was placed lately, and a request waits, and
//! is refused, only because of those that stand before it.

use std::sync;

use crate::{
    instance_update, relay_core, service_shares, share_order, share_registry, stream_request,
    wait_queue, workspace_key,
};

/// Mean tokens of a request before the first one was measured.
const DEFAULT_REQUEST_TOKENS: f64 = 1_000.0;

/// Number of workspaces whose shares are reported to operators.
const MAX_REPORTED_WORKSPACES: usize = 16;

/// Waiting requests that stand before a new request, in mean tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QueueAhead {
    /// Those before it if it can be on time.
    pub(super) timely: u64,
    /// Those before it if it is late.
    pub(super) late: u64,
    /// Whether a request that can be on time, and may use any engine, waits for the same service.
    pub(super) has_timely: bool,
    /// Whether such a request stands before the new one, so that this one has to wait too.
    pub(super) is_blocked: bool,
}

impl relay_core::RelayCore {
    /// Recomputes the usage by workspaces over all instances.
    pub(super) fn refresh_shares(&mut self, now: clock::Timestamp) {
        if !self.shares.is_outdated(now) {
            return;
        }
        let is_common = self.instances.all_order_by_share(now);
        let config = self.config();
        let services = config.iter().flat_map(|config| &config.services);
        let generating = services.filter(|(_, rule)| rule.engine.is_some());
        let services: Vec<_> = generating
            .map(|(service, _)| {
                let tokens = self
                    .estimate(service)
                    .map_or(DEFAULT_REQUEST_TOKENS, |estimate| estimate.mean_tokens);
                (instance_update::service_hash(service), tokens)
            })
            .collect();
        self.shares.refresh(now, is_common, services.into_iter());
        for (service, workspace, tokens) in self.instances.shares(now) {
            self.shares.add(service, workspace, tokens);
        }
        let waiting = self.queue.waiting().iter();
        for waiting in waiting.chain(self.instances.waiting(now)) {
            let service = instance_update::service_hash(&waiting.request.service);
            self.shares.add(service, waiting.request.workspace, 0.0);
        }
    }

    /// Returns whether this instance orders waiting requests by share as soon as the others do. A process
    /// without a configuration doesn't keep them from it.
    pub(super) fn orders_by_share(&self) -> bool {
        self.config().is_none() || self.shares.has_workspaces()
    }

    /// Makes the workspace of a request active.
    pub(super) fn activate_share(&mut self, request: &stream_request::StreamRequest) {
        if self.shares.has_workspaces() {
            let service = instance_update::service_hash(&request.service);
            self.shares.add(service, request.workspace, 0.0);
        }
    }

    /// Counts a placed request as usage by its workspace.
    pub(super) fn record_share(
        &mut self,
        now: clock::Timestamp,
        request: &stream_request::StreamRequest,
    ) {
        if self.shares.has_workspaces() {
            let service = instance_update::service_hash(&request.service);
            let tokens = request.usage_tokens();
            self.shares.record(now, service, request.workspace, tokens);
        }
    }

    /// Returns waiting requests in queue order.
    pub(super) fn in_order<'a>(
        &'a self,
        now: clock::Timestamp,
        waiting: impl Iterator<Item = &'a sync::Arc<wait_queue::WaitingRequest>>,
    ) -> Vec<(
        wait_queue::QueueRank,
        &'a sync::Arc<wait_queue::WaitingRequest>,
    )> {
        let mut ranked: Vec<_> = waiting
            .map(|waiting| (waiting.rank(now), waiting))
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        if self.shares.is_in_force() {
            let mut order = share_order::ShareOrder::new(&self.shares);
            for (rank, waiting) in &mut ranked {
                *rank = rank.with_share(order.next_position(&waiting.request));
            }
            ranked.sort_by_key(|(rank, _)| *rank);
        }
        ranked
    }

    /// Returns the waiting requests of all instances that stand before a new one; without shares all of
    /// them do.
    pub(super) fn queue_ahead(
        &self,
        now: clock::Timestamp,
        request: &stream_request::StreamRequest,
    ) -> QueueAhead {
        let by_share = self.shares.is_in_force();
        let mut order = share_order::ServiceOrder::new(&self.shares, &request.service);
        let position = if by_share {
            order.position_behind(request, self.own_waiting_tokens(now, request))
        } else {
            service_shares::SharePosition::default()
        };
        let timely_rank = wait_queue::QueueRank::new(request, false, 0).with_share(position);
        let late_rank = wait_queue::QueueRank::new(request, true, 0).with_share(position);
        let mut ahead = QueueAhead::default();
        let waiting = self.all_waiting(now);
        for other in waiting.filter(|other| other.request.service == request.service) {
            let rank = other.rank(now);
            let rank = if by_share {
                rank.with_share(order.next_position(&other.request))
            } else {
                rank
            };
            let is_timely = other.is_timely(now);
            let uses_any = other.request.software.is_none();
            let blocks = !by_share || rank.blocks(&timely_rank);
            ahead.has_timely |= is_timely && uses_any;
            ahead.is_blocked |= is_timely && uses_any && blocks;
            if request.software.is_some() && other.request.software != request.software {
                continue;
            }
            let tokens = u64::from(other.request.mean_tokens());
            if is_timely && blocks {
                ahead.timely += tokens;
            }
            if !by_share || rank.blocks(&late_rank) {
                ahead.late += tokens;
            }
        }
        ahead
    }

    /// Returns the tokens of the waiting requests of a request's workspace.
    fn own_waiting_tokens(
        &self,
        now: clock::Timestamp,
        request: &stream_request::StreamRequest,
    ) -> u64 {
        self.all_waiting(now)
            .map(|other| &other.request)
            .filter(|other| other.workspace == request.workspace)
            .filter(|other| other.service == request.service)
            .map(|other| u64::from(other.usage_tokens()))
            .sum()
    }

    /// Returns the share of a workspace in what was placed lately at a service; `None` without workspaces in
    /// the configuration.
    #[must_use]
    pub fn workspace_share(
        &self,
        service: &ids::ServiceName,
        workspace: workspace_key::WorkspaceKey,
    ) -> Option<share_registry::WorkspaceShare> {
        let service = instance_update::service_hash(service);
        let has_shares = self.shares.has_workspaces();
        has_shares.then(|| self.shares.share(service, workspace))
    }

    /// Returns the workspaces with the largest shares in what was placed lately, by service.
    pub fn workspace_shares(
        &mut self,
        now: clock::Timestamp,
    ) -> Vec<(
        ids::ServiceName,
        ids::WorkspaceName,
        share_registry::WorkspaceShare,
    )> {
        self.refresh_shares(now);
        let Some(config) = self.config().filter(|_| self.shares.has_workspaces()) else {
            return Vec::new();
        };
        let mut shares = Vec::new();
        for service in config.services.keys() {
            let hash = instance_update::service_hash(service);
            let largest = self.shares.largest_shares(hash, MAX_REPORTED_WORKSPACES);
            shares.extend(
                largest
                    .into_iter()
                    .map(|(workspace, share)| (service.clone(), workspace, share)),
            );
        }
        shares
    }
}
