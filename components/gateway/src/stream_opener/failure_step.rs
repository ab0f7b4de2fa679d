//! Decides what follows a failed step of a generation.

use crate::{crash_reporter, decision_event, gateway, stream_opener};

use super::ATTEMPT_LIMIT;

impl stream_opener::StreamOpener {
    /// Decides the step that follows a failure, and logs the failure. `started` is the start of the
    /// attempt, or the time of the last event of a stream that broke.
    pub(crate) fn next_step(
        &mut self,
        failed: &stream_opener::StepError,
        started: clock::Timestamp,
    ) -> relay::NextStep {
        let mut failure = failed.failure;
        failure.engine_unwilling = !self
            .gateway
            .core
            .decide(|core, now| core.may_repeat(now, failed.engine));
        self.report_crash(failed);
        let is_unreachable = failed.failure.outcome == relay::BackendOutcome::Unreachable;
        self.unreachable += u32::from(is_unreachable);
        let next = self.allowed_step(failed.engine, &failure, failure.preferred_step());
        if next == relay::NextStep::Restart {
            self.excluded.push(failed.engine);
        }
        let took = self.gateway.core.now().since(started);
        let stage: &'static str = failed.failure.step.into();
        self.gateway.metrics.attempt_failed(stage);
        let evidence = failed.evidence;
        self.gateway.metrics.claimed_not_run(evidence.proof);
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::AttemptFailed {
                id: &self.routed.request.id,
                request: decision_event::hash_text(&self.routed.request.identity.content),
                stage,
                server: failed.server.as_str(),
                outcome: failed.failure.outcome.into(),
                error: &failed.error,
                not_run: failed.failure.not_run,
                proof: evidence.proof.map(Into::into),
                earlier_answers: evidence.history.map(|history| history.earlier_answers),
                connection_age_ms: evidence.history.map(|history| gateway::millis(history.age)),
                took_ms: gateway::millis(took),
                next: next.into(),
            });
        next
    }

    /// Returns whether another instance should serve the request: this one doesn't reach the engines,
    /// and none has run it.
    pub(crate) fn should_hand_over(&self) -> bool {
        !self.trace.has_started()
            && !self.may_have_run()
            && self.gateway.prefers_proxy(&self.routed, self.unreachable)
    }

    /// Reports an engine that broke off.
    fn report_crash(&self, failed: &stream_opener::StepError) {
        let is_broken = failed.failure.outcome == relay::BackendOutcome::Broken;
        let Some(sent_at) = failed.sent_at.filter(|_| is_broken) else {
            return;
        };
        let crash = crash_reporter::BrokenAttempt {
            engine_step: Some(failed.failure.step),
            key: failed.engine,
            sent_at,
        };
        crash_reporter::report(&self.gateway, &self.routed.request, crash);
    }

    /// Records that the request was answered, which shows that it doesn't crash engines.
    pub(crate) fn record_answer(&self) {
        let suspects = self.routed.request.suspects();
        self.gateway
            .core
            .decide(|core, now| core.record_answer(now, &suspects));
    }

    pub(super) fn quarantine_refusal(&self) -> Option<relay::Refusal> {
        let suspects = self.routed.request.suspects();
        self.gateway
            .core
            .decide(|core, now| core.quarantine_refusal(now, &suspects))
    }

    /// Returns the preferred step, or the reason for which no retry is allowed. An allowed retry is
    /// counted against the retry limit.
    fn allowed_step(
        &self,
        engine: relay::BackendKey,
        failure: &relay::StepFailure,
        preferred: relay::NextStep,
    ) -> relay::NextStep {
        let route = &self.routed.route;
        // The attempt limit counts engines: a retry on the same engine adds none.
        let within_limit =
            preferred == relay::NextStep::RetryDecode || self.run_count() < route.attempt_limit;
        let may_run = failure.not_run || (route.may_run_again() && within_limit);
        let now = self.gateway.core.now();
        if self.routed.time_left(now).is_zero() {
            return relay::NextStep::DeadlineExceeded;
        }
        if self.attempts >= ATTEMPT_LIMIT {
            return relay::NextStep::AttemptsExhausted;
        }
        if !may_run {
            return relay::NextStep::MayHaveRun;
        }
        if self.quarantine_refusal().is_some() {
            return relay::NextStep::Quarantine;
        }
        let service = &self.routed.service;
        let cost = self.counts.cost(preferred);
        let granted = self
            .gateway
            .core
            .decide(|core, now| core.consume_retries(now, service, cost));
        if granted && preferred == relay::NextStep::RetryDecode {
            self.count_repeat(engine);
        }
        if granted {
            preferred
        } else {
            relay::NextStep::RetryBound
        }
    }

    fn count_repeat(&self, engine: relay::BackendKey) {
        self.gateway
            .core
            .decide(|core, now| core.count_request(now, engine));
        self.gateway.core.state_changed.notify_one();
    }
}
