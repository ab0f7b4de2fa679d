//! Log lines and metrics of a call.

use std::time;

use crate::{call_session, decision_event, gateway, run_evidence};

impl call_session::CallSession {
    pub(super) fn log_sent(&self, selection: &relay::ServerSelection) {
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::CallSent {
                id: &self.routed.request.id,
                route: &self.routed.route.name,
                config_version: self.routed.config_version,
                server: selection.entry.server.as_str(),
                attempt: self.attempts,
                running: selection.running,
                failure_share: selection.failure_share,
                limit_per_s: selection.rate_limit,
                view_age_ms: self.gateway.view_age_ms(),
            });
    }

    pub(super) fn log_failure(
        &self,
        server: &ids::ServerName,
        outcome: relay::BackendOutcome,
        evidence: run_evidence::RunEvidence,
        error: &str,
        took: time::Duration,
        will_retry: bool,
    ) {
        self.gateway.metrics.attempt_failed("call");
        self.gateway.metrics.claimed_not_run(evidence.proof);
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::AttemptFailed {
                id: &self.routed.request.id,
                request: decision_event::hash_text(&self.routed.request.identity.content),
                stage: "call",
                server: server.as_str(),
                outcome: outcome.into(),
                error,
                not_run: evidence.proves_not_run(),
                proof: evidence.proof.map(Into::into),
                earlier_answers: evidence.history.map(|history| history.earlier_answers),
                connection_age_ms: evidence.history.map(|history| gateway::millis(history.age)),
                took_ms: gateway::millis(took),
                next: if will_retry { "retry" } else { "end" },
            });
    }

    pub(super) fn log_ended(
        &mut self,
        outcome: &str,
        reason: Option<&str>,
        status: Option<u16>,
        retry_after: Option<time::Duration>,
    ) {
        self.ended = true;
        let took = self.gateway.core.now().since(self.routed.arrived);
        let kind: &'static str = self.routed.route.kind.into();
        let workspace = self.routed.workspace_name();
        self.gateway.metrics.ended(kind, outcome, workspace, took);
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::Ended {
                id: &self.routed.request.id,
                route: Some(&self.routed.route.name),
                workspace: workspace.map(ids::WorkspaceName::as_str),
                outcome,
                reason,
                status,
                server: self.server.as_ref().map(ids::ServerName::as_str),
                attempts: self.attempts,
                took_ms: gateway::millis(took),
                first_event_ms: None,
                longest_pause_ms: None,
                events: None,
                retry_after_ms: retry_after.map(gateway::millis),
            });
    }
}
