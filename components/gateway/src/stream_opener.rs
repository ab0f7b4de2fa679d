//! Brings a generation to its first event, over engines that may fail.

mod decode_step;
mod prefill_step;

use std::{sync, time};

use crate::{
    buffered_reply, decision_event, gateway, placement_guard, relay_client, relay_request,
    started_stream, stream_trace,
};

/// Places at the most, those included whose engines prove that they didn't run the request.
const ATTEMPT_LIMIT: u32 = 5;

/// Times the target for the first token that a request waits for a place: callers leave after
/// about four.
const QUEUE_WAIT_TARGETS: u32 = 3;

/// A stream with the place that it holds.
pub(crate) struct PlacedStream {
    pub(crate) guard: placement_guard::PlacementGuard,
    pub(crate) stream: started_stream::StartedStream,
}

/// Where a generation begins, or goes on.
pub(crate) enum OpenMode {
    /// It has no engines.
    Nothing,
    /// It stays on the decode engine of its place.
    Place(Box<placement_guard::PlacementGuard>),
}

/// Why a step has failed.
pub(crate) struct StepError {
    pub(crate) failure: relay::StepFailure,
    pub(crate) server: ids::ServerName,
    pub(crate) engine: relay::BackendKey,
    pub(crate) error: String,
    /// What the engine answered, when its failure is an answer for the caller.
    pub(crate) reply: Option<buffered_reply::BufferedReply>,
}

/// Why a generation ends without its answer.
pub(crate) enum OpenError {
    /// No engine has a place.
    Refused(relay::Refusal),
    /// The last attempt failed.
    Failed,
    /// The engine's own answer.
    Reply(buffered_reply::BufferedReply),
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
    stayed: bool,
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
            stayed: false,
            lost_result: None,
        }
    }

    /// Finds engines and waits for the first event, trying again where that is allowed.
    pub(crate) async fn open(&mut self, from: OpenMode) -> Result<PlacedStream, OpenError> {
        let (mut guard, mut prompt, mut next) = match from {
            OpenMode::Nothing => (
                self.request_placement().await?,
                None,
                relay::NextStep::Restart,
            ),
            OpenMode::Place(guard) => (*guard, None, relay::NextStep::StayOn),
        };
        loop {
            let started = self.gateway.core.now();
            let failed = match self.attempt(&mut guard, &mut prompt, next).await {
                Ok(stream) => return Ok(PlacedStream { guard, stream }),
                Err(failed) => failed,
            };
            next = self.next_step(&failed, started);
            match next {
                relay::NextStep::MoveOn if guard.move_decode(failed.failure.outcome) => {}
                relay::NextStep::StayOn => {
                    self.stayed = true;
                    self.tries += 1;
                    prompt = None;
                }
                relay::NextStep::MoveOn | relay::NextStep::Restart => {
                    next = relay::NextStep::Restart;
                    self.leave(&mut guard, &failed);
                    self.free_prefill_result(&mut prompt);
                    guard = self.request_placement().await?;
                }
                _ => {
                    self.leave(&mut guard, &failed);
                    self.free_prefill_result(&mut prompt);
                    return Err(failed.reply.map_or(OpenError::Failed, OpenError::Reply));
                }
            }
        }
    }

    /// Decides what follows a failure, and logs it.
    pub(crate) fn next_step(
        &mut self,
        failed: &StepError,
        started: clock::Moment,
    ) -> relay::NextStep {
        let wish = failed.failure.wish();
        let next = self.allowed(&failed.failure, wish);
        if next == relay::NextStep::Restart {
            self.avoid.push(failed.engine);
        }
        let took = self.gateway.core.now().since(started);
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

    fn allowed(&self, failure: &relay::StepFailure, wish: relay::NextStep) -> relay::NextStep {
        let route = &self.routed.route;
        // An engine that may have run it already may go on with it; another one is one more.
        let within_limit =
            wish == relay::NextStep::StayOn || self.run_count() < route.attempt_limit;
        let may_run = failure.not_run || (route.may_run_again() && within_limit);
        let now = self.gateway.core.now();
        if self.routed.time_left(now).is_zero() {
            return relay::NextStep::OutOfTime;
        }
        if self.tries >= ATTEMPT_LIMIT {
            return relay::NextStep::OutOfTries;
        }
        if !may_run {
            return relay::NextStep::MayHaveRun;
        }
        let service = &self.routed.service;
        let cost = self.counts.cost(wish);
        let granted = self
            .gateway
            .core
            .decide(|core, now| core.take_repeats(now, service, cost));
        if granted {
            wish
        } else {
            relay::NextStep::RetryBound
        }
    }

    async fn attempt(
        &mut self,
        guard: &mut placement_guard::PlacementGuard,
        prompt: &mut Option<prefill_step::PrefillResult>,
        next: relay::NextStep,
    ) -> Result<started_stream::StartedStream, StepError> {
        if next == relay::NextStep::Restart {
            self.stayed = false;
            *prompt = self.run_prefill(guard).await?;
        }
        self.generate(guard, prompt).await
    }

    async fn request_placement(&mut self) -> Result<placement_guard::PlacementGuard, OpenError> {
        let asked_at = self.gateway.core.now();
        let ask = relay::StreamAsk::builder()
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
        let answer = self.gateway.core.place(ask).await;
        let waited = self.gateway.core.now().since(asked_at);
        self.gateway.metrics.phase("queue", waited);
        match answer {
            relay::PlaceAnswer::Placed(place) => {
                self.tries += 1;
                self.trace.placed(&place, self.tries, waited, &self.size);
                Ok(placement_guard::PlacementGuard::new(
                    sync::Arc::clone(&self.gateway),
                    *place,
                    self.routed.request.id.clone(),
                ))
            }
            relay::PlaceAnswer::Refused(refusal) => Err(OpenError::Refused(refusal)),
            relay::PlaceAnswer::Waiting(_) => Err(OpenError::Failed),
        }
    }

    /// Returns how long the request may wait for a place.
    fn wait_until(&self) -> clock::Moment {
        let target = self.routed.route.latency_target;
        let patience = self.routed.arrived + target * QUEUE_WAIT_TARGETS;
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
    ) -> relay_client::SendOptions {
        relay_client::SendOptions::builder()
            .server(entry.server.clone())
            .address(entry.address)
            .step(step)
            .time_left(time_left)
            .start_by(self.routed.deadline)
            .build()
    }

    /// Leaves a place after a failure.
    fn leave(&self, guard: &mut placement_guard::PlacementGuard, failed: &StepError) {
        // What a prefill engine did says nothing of the decode engine.
        let outcome = if failed.failure.step == relay::StreamStep::Prefill {
            relay::BackendOutcome::Abandoned
        } else {
            failed.failure.outcome
        };
        guard.end(outcome);
    }
}
