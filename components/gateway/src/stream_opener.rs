//! Brings a generation to its first event, over engines that may fail.

use std::{sync, time};

use crate::{
    decision_event, gateway, place_guard, relay_client, relay_request, stream_opening,
    stream_trace, whole_reply,
};

/// Places at the most, those included whose engines prove that they didn't run the request.
const TRY_LIMIT: u32 = 5;

/// Times the expected duration after which a prompt that isn't read is given up.
const PREFILL_PATIENCE_RATIO: u32 = 3;

/// Shortest time after which a prompt that isn't read is given up.
const PREFILL_PATIENCE_FLOOR: time::Duration = time::Duration::from_millis(350);

/// Times the target for the first token that a request waits for a place: callers leave after
/// about four.
const WAIT_TARGETS: u32 = 3;

/// Part of the time a prefill result is kept in which it is given to another engine.
const RESULT_SHARE: f64 = 0.7;

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

/// A prefill result that a decode engine may take.
struct ReadPrompt {
    source: relay_client::KvSource,
    taken_by: clock::Moment,
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
    pub(crate) async fn open(&mut self, from: OpenFrom) -> Result<OpenStream, GiveUp> {
        let (mut guard, mut prompt, mut next) = match from {
            OpenFrom::Nothing => (self.find_place().await?, None, relay::NextStep::Restart),
            OpenFrom::Place(guard) => (*guard, None, relay::NextStep::StayOn),
        };
        loop {
            let started = self.gateway.port.now();
            let failed = match self.attempt(&mut guard, &mut prompt, next).await {
                Ok(stream) => return Ok(OpenStream { guard, stream }),
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
        started: clock::Moment,
    ) -> relay::NextStep {
        let wish = failed.failure.wish();
        let next = self.allowed(&failed.failure, wish);
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

    fn allowed(&self, failure: &relay::StepFailure, wish: relay::NextStep) -> relay::NextStep {
        let route = &self.routed.route;
        // An engine that may have run it already may go on with it; another one is one more.
        let within_limit =
            wish == relay::NextStep::StayOn || self.ran_on_count() < route.attempt_limit;
        let may_run = failure.not_run || (route.may_run_again() && within_limit);
        let now = self.gateway.port.now();
        if self.routed.time_left(now).is_zero() {
            return relay::NextStep::OutOfTime;
        }
        if self.tries >= TRY_LIMIT {
            return relay::NextStep::OutOfTries;
        }
        if !may_run {
            return relay::NextStep::MayHaveRun;
        }
        let service = &self.routed.service;
        let cost = self.counts.cost(wish);
        let granted = self
            .gateway
            .port
            .decide(|core, now| core.take_repeats(now, service, cost));
        if granted {
            wish
        } else {
            relay::NextStep::RetryBound
        }
    }

    async fn attempt(
        &mut self,
        guard: &mut place_guard::PlaceGuard,
        prompt: &mut Option<ReadPrompt>,
        next: relay::NextStep,
    ) -> Result<stream_opening::OpenedStream, StepError> {
        if next == relay::NextStep::Restart {
            self.stayed = false;
            *prompt = self.read_prompt(guard).await?;
        }
        self.generate(guard, prompt).await
    }

    async fn find_place(&mut self) -> Result<place_guard::PlaceGuard, GiveUp> {
        let asked_at = self.gateway.port.now();
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
        let answer = self.gateway.port.place(ask).await;
        let waited = self.gateway.port.now().since(asked_at);
        self.gateway.metrics.phase("queue", waited);
        match answer {
            relay::PlaceAnswer::Placed(place) => {
                self.tries += 1;
                self.trace.placed(&place, self.tries, waited, &self.size);
                Ok(place_guard::PlaceGuard::new(
                    sync::Arc::clone(&self.gateway),
                    *place,
                    self.routed.request.id.clone(),
                ))
            }
            relay::PlaceAnswer::Refused(refusal) => Err(GiveUp::Refused(refusal)),
            relay::PlaceAnswer::Waiting(_) => Err(GiveUp::Failed),
        }
    }

    /// Returns how long the request may wait for a place.
    fn wait_until(&self) -> clock::Moment {
        let target = self.routed.route.latency_target;
        let patience = self.routed.arrived + target * WAIT_TARGETS;
        let latest = self.routed.deadline.before(target);
        if self.trace.has_started() {
            latest
        } else {
            patience.min(latest)
        }
    }

    /// Has the prefill engine of a place read the prompt.
    async fn read_prompt(
        &mut self,
        guard: &place_guard::PlaceGuard,
    ) -> Result<Option<ReadPrompt>, StepError> {
        let Some((key, entry)) = guard.place.prefill.clone() else {
            return Ok(None);
        };
        let started = self.gateway.port.now();
        let time_left = self.routed.time_left(started);
        let patience = (guard.place.prefill_time * PREFILL_PATIENCE_RATIO)
            .max(PREFILL_PATIENCE_FLOOR)
            .min(time_left);
        let send = self.send_to(&entry, relay_client::RelayStep::Run, time_left);
        let reading = self.gateway.client.prefill(&self.routed.request, send);
        let result = tokio::time::timeout(patience, reading).await;
        let now = self.gateway.port.now();
        let (outcome, error) = match result {
            Ok(Ok(source)) => {
                guard.prefill_ended(relay::BackendOutcome::Succeeded);
                self.counts.prefills += 1;
                self.warm = Some((key, entry.address));
                self.trace.prompt_read(&entry.server, now.since(started));
                return Ok(Some(ReadPrompt {
                    source,
                    taken_by: now + self.result_time(),
                }));
            }
            Ok(Err(error)) => (whole_reply::outcome_of(&error), error.to_string()),
            Err(_) => (
                relay::BackendOutcome::Silent,
                format!("the prompt wasn't read within {} ms", patience.as_millis()),
            ),
        };
        guard.prefill_ended(outcome);
        self.count_failed_prefill(outcome);
        Err(StepError {
            failure: relay::StepFailure::builder()
                .step(relay::StreamStep::Prefill)
                .outcome(outcome)
                // Reading a prompt doesn't run the request.
                .not_run(true)
                .build(),
            server: entry.server,
            engine: key,
            error,
            reply: None,
        })
    }

    /// Counts a prompt that a prefill engine refused or may have read.
    fn count_failed_prefill(&mut self, outcome: relay::BackendOutcome) {
        let service = &self.routed.service;
        match outcome {
            relay::BackendOutcome::Unreachable => {}
            relay::BackendOutcome::Refused => self
                .gateway
                .port
                .decide(|core, now| core.count_repeat(now, service)),
            _ => self.counts.prefills += 1,
        }
    }

    /// Returns the time in which a prefill result may be given to an engine.
    fn result_time(&self) -> time::Duration {
        self.gateway
            .port
            .decide(|core, _| core.result_retention(&self.routed.service))
            .mul_f64(RESULT_SHARE)
    }

    /// Has the decode engine of a place generate, up to the first event.
    async fn generate(
        &mut self,
        guard: &mut place_guard::PlaceGuard,
        prompt: &mut Option<ReadPrompt>,
    ) -> Result<stream_opening::OpenedStream, StepError> {
        let (key, entry) = guard.place.decode.clone();
        let time_left = self.routed.time_left(self.gateway.port.now());
        let source = prompt.as_ref().map(|prompt| prompt.source.clone());
        let cache = self.warm.map(|(_, address)| address);
        let step = relay_client::RelayStep::Decode {
            cache: cache.filter(|_| source.is_none()),
            source,
            resume_after: self.last_event,
        };
        let send = self.send_to(&entry, step, time_left);
        guard.sent();
        let opening =
            stream_opening::first_event(self.gateway.client.send(&self.routed.request, send));
        let result = tokio::time::timeout(time_left, opening).await;
        let failed = match result {
            Ok(Ok(opened)) => {
                guard.first_token();
                self.counts.decodes += 1;
                self.note_run(key);
                if prompt.is_none() {
                    self.note_lost_result();
                }
                return Ok(opened);
            }
            Ok(Err(failed)) => failed,
            Err(_) => stream_opening::OpenFailure {
                outcome: relay::BackendOutcome::Silent,
                not_run: false,
                has_arrived: true,
                error: "no event in time".to_owned(),
                reply: None,
            },
        };
        if failed.has_arrived {
            self.counts.decodes += 1;
        }
        if !failed.not_run {
            self.note_run(key);
        }
        let now = self.gateway.port.now();
        let was_refused = failed.outcome == relay::BackendOutcome::Refused;
        self.lost_result = prompt
            .as_ref()
            .and(self.warm)
            .map(|(engine, _)| engine)
            .filter(|_| was_refused);
        let has_result = prompt.as_ref().is_some_and(|prompt| now < prompt.taken_by);
        Err(StepError {
            failure: relay::StepFailure::builder()
                .step(relay::StreamStep::Decode)
                .outcome(failed.outcome)
                .not_run(failed.not_run)
                .has_result(has_result)
                .fill(guard.place.fill)
                .stayed(self.stayed)
                .build(),
            server: entry.server,
            engine: key,
            error: failed.error,
            reply: failed.reply,
        })
    }

    /// Tells the core of a result that was gone: the engine that was refused it has room.
    fn note_lost_result(&mut self) {
        if let Some(engine) = self.lost_result.take() {
            self.gateway
                .port
                .decide(|core, now| core.result_lost(now, engine));
            self.gateway.port.usage_changed.notify_one();
        }
    }

    /// Returns whether the request may have run.
    pub(crate) const fn may_have_run(&self) -> bool {
        !self.ran_on.is_empty()
    }

    fn ran_on_count(&self) -> u32 {
        u32::try_from(self.ran_on.len()).unwrap_or(u32::MAX)
    }

    fn note_run(&mut self, engine: relay::BackendKey) {
        if !self.ran_on.contains(&engine) {
            self.ran_on.push(engine);
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

    /// Frees a prefill result that nobody will take.
    fn drop_prompt(&self, prompt: &mut Option<ReadPrompt>) {
        let now = self.gateway.port.now();
        let Some(prompt) = prompt.take().filter(|prompt| now < prompt.taken_by) else {
            return;
        };
        let client = sync::Arc::clone(&self.gateway.client);
        tokio::spawn(async move {
            // The engine frees it by itself when its time is up.
            let _freed = client.free(prompt.source).await;
        });
    }
}
