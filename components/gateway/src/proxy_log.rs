//! Log lines and metrics of a request that another instance serves.

use std::{net, sync, time};

use crate::{decision_event, drain_tally, gateway, relay_answer};

/// Records what becomes of a request that another instance serves. A log that is dropped before the
/// end records that the caller disconnected.
pub(crate) struct ProxyLog {
    gateway: sync::Arc<gateway::Gateway>,
    id: String,
    route: String,
    workspace: Option<ids::WorkspaceName>,
    kind: relay::RequestKind,
    arrived: clock::Timestamp,
    proxy: net::Ipv4Addr,
    /// Whether a stream of the other instance is relayed.
    is_relaying: bool,
    ended: bool,
}

impl ProxyLog {
    /// Logs that a request is sent to another instance.
    pub(crate) fn new(
        gateway: &sync::Arc<gateway::Gateway>,
        routed: &gateway::RoutedRequest,
        proxy: net::Ipv4Addr,
    ) -> Self {
        gateway.metrics.proxied("sent");
        gateway.log.write(&decision_event::DecisionEvent::Proxied {
            id: &routed.request.id,
            route: &routed.route.name,
            proxy,
        });
        Self {
            gateway: sync::Arc::clone(gateway),
            id: routed.request.id.clone(),
            route: routed.route.name.clone(),
            workspace: routed.workspace_name().cloned(),
            kind: routed.route.kind,
            arrived: routed.arrived,
            proxy,
            is_relaying: false,
            ended: false,
        }
    }

    /// Logs that the other instance hasn't taken the request.
    pub(crate) fn declined(&mut self, error: &str) {
        self.ended = true;
        self.gateway.metrics.proxied("declined");
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::ProxyDeclined {
                id: &self.id,
                proxy: self.proxy,
                error,
            });
    }

    /// Logs an answer of an instance, and returns it.
    pub(crate) fn answer(
        mut self,
        answer: relay_answer::LocalAnswer,
        retry_after: Option<time::Duration>,
    ) -> relay_answer::RelayAnswer {
        self.end(answer.into(), Some(answer.status()), retry_after);
        relay_answer::RelayAnswer::Local {
            answer,
            retry_after,
        }
    }

    /// Records that a stream of the other instance is relayed from now on.
    pub(crate) const fn begin_relay(&mut self) {
        self.is_relaying = true;
    }

    /// Returns whether the request is answered by this instance, which ends.
    fn is_answered_here(&self) -> bool {
        let core = &self.gateway.core;
        let is_due = |plan: relay::DrainPlan| plan.answers_by <= core.now();
        !self.is_relaying && core.drain_plan().is_some_and(is_due)
    }

    /// Logs that the whole answer of a server was relayed.
    pub(crate) fn relayed(&mut self, status: http::StatusCode) {
        self.end("relayed", Some(status), None);
    }

    /// Returns the time until streams break off since this instance ends, if it stops.
    pub(crate) fn until_end(&self) -> Option<time::Duration> {
        let core = &self.gateway.core;
        Some(core.drain_plan()?.streams_by.since(core.now()))
    }

    /// Returns whether streams break off since this instance ends.
    pub(crate) fn is_over(&self) -> bool {
        self.until_end().is_some_and(|left| left.is_zero())
    }

    /// Logs that a stream broke off.
    pub(crate) fn broken_off(&mut self) {
        if self.is_over() {
            let outcome = drain_tally::DrainOutcome::BrokenOff;
            self.gateway.core.count_drained(outcome, self.arrived);
        }
        self.end("broken_off", Some(http::StatusCode::OK), None);
    }

    fn end(
        &mut self,
        outcome: &str,
        status: Option<http::StatusCode>,
        retry_after: Option<time::Duration>,
    ) {
        self.ended = true;
        let took = self.gateway.core.now().since(self.arrived);
        let workspace = self.workspace.as_ref();
        self.gateway
            .metrics
            .ended(self.kind.into(), outcome, workspace, took);
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::Ended {
                id: &self.id,
                route: Some(&self.route),
                workspace: workspace.map(ids::WorkspaceName::as_str),
                outcome,
                reason: None,
                status: status.map(|status| status.as_u16()),
                server: None,
                attempts: 1,
                took_ms: gateway::millis(took),
                first_event_ms: None,
                longest_pause_ms: None,
                events: None,
                retry_after_ms: retry_after.map(gateway::millis),
            });
    }
}

impl Drop for ProxyLog {
    fn drop(&mut self) {
        if !self.ended && !self.is_answered_here() {
            self.end("caller_left", None, None);
        }
    }
}
