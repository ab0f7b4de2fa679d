//! Brings a generation to its first event, over engines that may fail.

mod decode_step;
mod prompt_step;

use std::{sync, time};

use crate::{
    decision_event, gateway, place_guard, relay_client, relay_request, stream_opening,
    stream_trace, whole_reply,
};

/// Places at the most, those included whose engines prove that they didn't run the request.
const TRY_LIMIT: u32 = 5;

/// Times the target for the first token that a request waits for a place: callers leave after
/// about four.
const WAIT_TARGETS: u32 = 3;

/// A stream with the place that it holds.
pub(crate) struct OpenStream {
    pub(crate) guard: place_guard::PlaceGuard,
    pub(crate) stream: stream_opening::OpenedStream,
}

/// Where a generation begins, or goes on.
pub(crate) enum OpenFrom {
    /// It has no engines.
    Nothing,
    /// It stays on the decode engine of its place.
    Place(Box<place_guard::PlaceGuard>),
}

/// Why a step has failed.
pub(crate) struct StepError {
    pub(crate) failure: relay::StepFailure,
    pub(crate) server: ids::ServerName,
    pub(crate) engine: relay::BackendKey,
    pub(crate) error: String,
    /// What the engine answered, when its failure is an answer for the caller.
    pub(crate) reply: Option<whole_reply::WholeReply>,
}

/// Why a generation ends without its answer.
pub(crate) enum GiveUp {
    /// No engine has a place.
    Refused(relay::Refusal),
    /// The last attempt failed.
    Failed,
    /// The engine's own answer.
    Reply(whole_reply::WholeReply),
}

/// Brings a generation to its first event, over engines that may fail.
pub(crate) struct StreamOpener {
    pub(crate) gateway: sync::Arc<gateway::Gateway>,
    pub(crate) routed: gateway::RoutedRequest,
    pub(crate) trace: stream_trace::StreamTrace,
    /// Last event that the caller has received.
    pub(crate) last_event: Option<u64>,
    /// Decode engines that may have run it.
    ran_on: Vec<relay::BackendKey>,
    size: relay_request::GenerationSize,
    avoid: Vec<relay::BackendKey>,
    tries: u32,
    counts: relay::AttemptCount,
    /// Prefill engine that has read the prompt, and its address.
    warm: Option<(relay::BackendKey, std::net::SocketAddr)>,
    decode_retried: bool,
    /// Prefill engine whose result seems to be gone.
    lost_result: Option<relay::BackendKey>,
}

impl StreamOpener {
    pub(crate) fn new(
        gateway: sync::Arc<gateway::Gateway>,
        routed: gateway::RoutedRequest,
        size: relay_request::GenerationSize,
    ) -> Self {
        let trace = stream_trace::StreamTrace::new(sync::Arc::clone(&gateway), &routed);
        Self {
            gateway,
            trace,
            last_event: routed.request.resume_after,
            routed,
            ran_on: Vec::new(),
            size,
            avoid: Vec::new(),
            tries: 0,
            counts: relay::AttemptCount::default(),
            warm: None,
            decode_retried: false,
            lost_result: None,
        }
    }

    /// Finds engines and waits for the first event, trying again where that is allowed.
    pub(crate) async fn open(&mut self, from: OpenFrom) -> Result<OpenStream, GiveUp> {
        let (mut guard, mut prompt, mut next) = match from {
            OpenFrom::Nothing => (self.find_place().await?, None, relay::NextStep::Restart),
            OpenFrom::Place(guard) => (*guard, None, relay::NextStep::RetryDecode),
        };
        loop {
            let started = self.gateway.port.now();
            let failed = match self.attempt(&mut guard, &mut prompt, next).await {
                Ok(stream) => return Ok(OpenStream { guard, stream }),
                Err(failed) => failed,
            };
            next = self.next_step(&failed, started);
            match next {
                relay::NextStep::MoveDecode if guard.move_decode(failed.failure.outcome) => {}
                relay::NextStep::RetryDecode => {
                    self.decode_retried = true;
                    self.tries += 1;
                    prompt = None;
                }
                relay::NextStep::MoveDecode | relay::NextStep::Restart => {
                    next = relay::NextStep::Restart;
                    self.leave(&mut guard, &failed);
                    self.drop_prompt(&mut prompt);
                    guard = self.find_place().await?;
                }
                _ => {
                    self.leave(&mut guard, &failed);
                    self.drop_prompt(&mut prompt);
                    return Err(failed.reply.map_or(GiveUp::Failed, GiveUp::Reply));
                }
            }
        }
    }

    /// Decides what follows a failure, and logs it.
    pub(crate) fn next_step(
        &mut self,
        failed: &StepError,
        started: clock::Timestamp,
    ) -> relay::NextStep {
        let preferred_step = failed.failure.preferred_step();
        let next = self.allowed(&failed.failure, preferred_step);
        if next == relay::NextStep::Restart {
            self.avoid.push(failed.engine);
        }
        let took = self.gateway.port.now().since(started);
        let stage: &'static str = failed.failure.step.into();
        self.gateway.metrics.attempt_failed(stage);
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::AttemptFailed {
                id: &self.routed.request.id,
                stage,
                server: failed.server.as_str(),
                outcome: failed.failure.outcome.into(),
                error: &failed.error,
                not_run: failed.failure.not_run,
                took_ms: gateway::millis(took),
                next: next.into(),
            });
        next
    }

    fn allowed(
        &self,
        failure: &relay::StepFailure,
        preferred_step: relay::NextStep,
    ) -> relay::NextStep {
        let route = &self.routed.route;
        // An engine that may have run it already may go on with it; another one is one more.
        let within_limit = preferred_step == relay::NextStep::RetryDecode
            || self.ran_on_count() < route.attempt_limit;
        let may_run = failure.not_run || (route.may_run_again() && within_limit);
        let now = self.gateway.port.now();
        if self.routed.time_left(now).is_zero() {
            return relay::NextStep::DeadlineExceeded;
        }
        if self.tries >= TRY_LIMIT {
            return relay::NextStep::AttemptsExhausted;
        }
        if !may_run {
            return relay::NextStep::MayHaveRun;
        }
        let service = &self.routed.service;
        let cost = self.counts.cost(preferred_step);
        let granted = self
            .gateway
            .port
            .decide(|core, now| core.take_retries(now, service, cost));
        if granted {
            preferred_step
        } else {
            relay::NextStep::RetryBound
        }
    }

    async fn attempt(
        &mut self,
        guard: &mut place_guard::PlaceGuard,
        prompt: &mut Option<prompt_step::ReadPrompt>,
        next: relay::NextStep,
    ) -> Result<stream_opening::OpenedStream, StepError> {
        if next == relay::NextStep::Restart {
            self.decode_retried = false;
            *prompt = self.read_prompt(guard).await?;
        }
        self.generate(guard, prompt).await
    }

    async fn find_place(&mut self) -> Result<place_guard::PlaceGuard, GiveUp> {
        let asked_at = self.gateway.port.now();
        let ask = relay::StreamRequest::builder()
            .service(self.routed.service.clone())
            .priority(self.routed.route.priority)
            .prompt_tokens(self.size.prompt_tokens)
            .output_tokens(self.size.output_tokens)
            .maybe_expected_tokens(self.size.expected_tokens)
            .first_token_due(self.routed.arrived + self.routed.route.latency_target)
            .wait_until(self.wait_until())
            .resumes(self.trace.has_started())
            .maybe_warm_prefill(self.warm.map(|(engine, _)| engine))
            .avoid(self.avoid.clone())
            .build();
        let answer = self.gateway.port.place(ask).await;
        let waited = self.gateway.port.now().since(asked_at);
        self.gateway.metrics.phase("queue", waited);
        match answer {
            relay::PlacementOutcome::Placed(place) => {
                self.tries += 1;
                self.trace.placed(&place, self.tries, waited, &self.size);
                Ok(place_guard::PlaceGuard::new(
                    sync::Arc::clone(&self.gateway),
                    *place,
                    self.routed.request.id.clone(),
                ))
            }
            relay::PlacementOutcome::Refused(refusal) => Err(GiveUp::Refused(refusal)),
            relay::PlacementOutcome::Waiting(_) => Err(GiveUp::Failed),
        }
    }

    /// Returns how long the request may wait for a place.
    fn wait_until(&self) -> clock::Timestamp {
        let target = self.routed.route.latency_target;
        let patience = self.routed.arrived + target * WAIT_TARGETS;
        let latest = self.routed.deadline.before(target);
        if self.trace.has_started() {
            latest
        } else {
            patience.min(latest)
        }
    }

    fn send_to(
        &self,
        entry: &relay::BackendEntry,
        step: relay_client::RelayStep,
        time_left: time::Duration,
    ) -> relay_client::RelaySend {
        relay_client::RelaySend::builder()
            .server(entry.server.clone())
            .address(entry.address)
            .step(step)
            .time_left(time_left)
            .start_by(self.routed.deadline)
            .build()
    }

    /// Leaves a place after a failure.
    fn leave(&self, guard: &mut place_guard::PlaceGuard, failed: &StepError) {
        // What a prefill engine did says nothing of the decode engine.
        let outcome = if failed.failure.step == relay::StreamStep::Prefill {
            relay::BackendOutcome::Abandoned
        } else {
            failed.failure.outcome
        };
        guard.end(outcome);
    }
}
