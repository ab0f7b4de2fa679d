//! Tokens that a request has drawn on the limit of its workspace.

use std::sync;

use crate::{decision_event, gateway, relay_answer, run_record, shared_core};

/// Tokens that a request has drawn on the limit of its workspace. They are given back when the guard
/// is dropped, unless a server may have run the request.
pub(crate) struct ChargeGuard {
    core: sync::Arc<shared_core::SharedCore>,
    charge: relay::WorkspaceCharge,
    /// Whether the request may have run.
    runs: sync::Arc<run_record::RunRecord>,
}

impl Drop for ChargeGuard {
    fn drop(&mut self) {
        if self.runs.may_have_run() {
            return;
        }
        let charge = self.charge;
        self.core.decide(|core, now| core.give_back(now, charge));
        self.core.state_changed.notify_one();
    }
}

impl gateway::Gateway {
    /// Charges a request to its workspace; returns the answer to the caller if it is beyond the
    /// limit.
    pub(crate) fn charge(
        &self,
        routed: &mut gateway::RoutedRequest,
    ) -> Option<relay_answer::RelayAnswer> {
        let workspace = routed.workspace.clone()?;
        let size = routed.request.size.as_ref();
        let tokens = size.map(|size| size.prompt_tokens.saturating_add(size.output_tokens));
        let outcome = self
            .core
            .decide(|core, now| core.charge(now, &workspace, tokens));
        match outcome {
            relay::ChargeOutcome::Unlimited => None,
            relay::ChargeOutcome::Charged(charge) => {
                self.core.state_changed.notify_one();
                self.metrics
                    .workspaces
                    .charged(&workspace.name, charge.units);
                routed.charge = Some(sync::Arc::new(ChargeGuard {
                    core: sync::Arc::clone(&self.core),
                    charge,
                    runs: sync::Arc::clone(&routed.runs),
                }));
                None
            }
            relay::ChargeOutcome::Refused(refusal) => {
                // Others tell their callers to return after this one.
                self.core.state_changed.notify_one();
                Some(self.refuse_charge(routed, &workspace.name, &refusal))
            }
        }
    }

    fn refuse_charge(
        &self,
        routed: &gateway::RoutedRequest,
        workspace: &ids::WorkspaceName,
        refusal: &relay::LimitRefusal,
    ) -> relay_answer::RelayAnswer {
        let answer = relay_answer::LocalAnswer::OverLimit;
        let reason = relay::RefusalReason::WorkspaceLimit;
        let took = self.core.now().since(routed.arrived);
        let kind: &'static str = routed.route.kind.into();
        self.metrics.refused(reason.into());
        self.metrics
            .ended(kind, answer.into(), Some(workspace), took);
        let exceeded =
            decision_event::LimitEvent::new(&routed.request.id, workspace.as_str(), refusal);
        self.log
            .write(&decision_event::DecisionEvent::LimitExceeded(exceeded));
        self.log.write(&decision_event::DecisionEvent::Ended {
            id: &routed.request.id,
            route: Some(&routed.route.name),
            workspace: Some(workspace.as_str()),
            outcome: answer.into(),
            reason: Some(reason.into()),
            status: Some(answer.status().as_u16()),
            server: None,
            attempts: 0,
            took_ms: gateway::millis(took),
            first_event_ms: None,
            longest_pause_ms: None,
            events: None,
            retry_after_ms: Some(gateway::millis(refusal.retry_after)),
        });
        relay_answer::RelayAnswer::Local {
            answer,
            retry_after: Some(refusal.retry_after),
        }
    }
}
