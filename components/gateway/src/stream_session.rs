//! One generation, from its place at engines to its last event.

use std::{sync, time};

use futures_util::{StreamExt as _, stream};

use crate::{
    decision_event, event_splitter, gateway, place_guard, relay_answer, relay_client,
    stream_opening, stream_trace, whole_reply,
};

/// Attempts at the most, those included that prove that they didn't run.
const TRY_LIMIT: u32 = 4;

/// Times the expected duration after which a prompt that isn't read is given up.
const PREFILL_PATIENCE_RATIO: u32 = 3;

/// Shortest time after which a prompt that isn't read is given up.
const PREFILL_PATIENCE_FLOOR: time::Duration = time::Duration::from_millis(350);

/// Times the target for the first token that a request waits for a place: callers leave after
/// about four.
const WAIT_TARGETS: u32 = 3;

/// Silence after which a stream that can be resumed goes on elsewhere.
const STALL_LIMIT: time::Duration = time::Duration::from_millis(800);

/// A stream with the place that it holds.
struct OpenStream {
    guard: place_guard::PlaceGuard,
    stream: stream_opening::OpenedStream,
}

/// Why a stream has no further event.
struct StepFailure {
    stage: &'static str,
    server: ids::ServerName,
    engine: relay::BackendKey,
    outcome: relay::BackendOutcome,
    not_run: bool,
    error: String,
    /// What the engine answered, when its failure is an answer for the caller.
    reply: Option<whole_reply::WholeReply>,
}

/// Why a generation ends without its answer.
enum GiveUp {
    Refused(relay::Refusal),
    Failed,
    /// The engine's own answer.
    Reply(whole_reply::WholeReply),
}

/// One generation, from its place at engines to its last event.
pub(crate) struct StreamSession {
    gateway: sync::Arc<gateway::Gateway>,
    routed: gateway::RoutedRequest,
    avoid: Vec<relay::BackendKey>,
    tries: u32,
    /// Attempts that may have run.
    runs: u32,
    last_event: Option<u64>,
    /// Tokens that one event stands for.
    tokens_per_event: u32,
    trace: stream_trace::StreamTrace,
    open: Option<OpenStream>,
}

impl StreamSession {
    pub(crate) fn new(
        gateway: sync::Arc<gateway::Gateway>,
        routed: gateway::RoutedRequest,
    ) -> Self {
        let trace = stream_trace::StreamTrace::new(sync::Arc::clone(&gateway), &routed);
        let tokens_per_event = gateway
            .port
            .decide(|core, _| core.tokens_per_event(&routed.service));
        Self {
            gateway,
            tokens_per_event,
            last_event: routed.request.resume_after,
            routed,
            avoid: Vec::new(),
            tries: 0,
            runs: 0,
            trace,
            open: None,
        }
    }

    pub(crate) async fn serve(mut self) -> relay_answer::RelayAnswer {
        match self.open_stream().await {
            Ok(open) => {
                let status = open.stream.status;
                let headers = open.stream.headers.clone();
                self.open = Some(open);
                relay_answer::RelayAnswer::Stream {
                    status,
                    headers,
                    body: Box::pin(stream::unfold(Some(self), next_piece)),
                }
            }
            Err(GiveUp::Reply(reply)) => self.pass_on(reply),
            Err(GiveUp::Refused(refusal)) => self.refuse(Some(refusal)),
            Err(GiveUp::Failed) => self.refuse(None),
        }
    }

    /// Finds engines and waits for the first event, trying again where that is allowed.
    async fn open_stream(&mut self) -> Result<OpenStream, GiveUp> {
        loop {
            let mut guard = self.find_place().await?;
            let started = self.gateway.port.now();
            let failure = match self.try_engines(&mut guard).await {
                Ok(stream) => return Ok(OpenStream { guard, stream }),
                Err(failure) => failure,
            };
            if failure.stage != "prefill" {
                guard.end(failure.outcome);
            }
            drop(guard);
            let took = self.gateway.port.now().since(started);
            if !self.goes_on(&failure, took) {
                return Err(failure.reply.map_or(GiveUp::Failed, GiveUp::Reply));
            }
        }
    }

    async fn find_place(&mut self) -> Result<place_guard::PlaceGuard, GiveUp> {
        let asked_at = self.gateway.port.now();
        if self.routed.time_left(asked_at).is_zero() {
            return Err(GiveUp::Failed);
        }
        let Some(size) = self.routed.request.size.clone() else {
            return Err(GiveUp::Failed);
        };
        let ask = relay::StreamAsk::builder()
            .service(self.routed.service.clone())
            .priority(self.routed.route.priority)
            .prompt_tokens(size.prompt_tokens)
            .output_tokens(size.output_tokens)
            .maybe_expected_tokens(size.expected_tokens)
            .first_token_due(self.routed.arrived + self.routed.route.latency_target)
            .wait_until(self.wait_until())
            .resumes(self.trace.has_started())
            .avoid(self.avoid.clone())
            .build();
        let answer = self.gateway.port.place(ask).await;
        let waited = self.gateway.port.now().since(asked_at);
        self.gateway.metrics.phase("queue", waited);
        match answer {
            relay::PlaceAnswer::Placed(place) => {
                self.tries += 1;
                self.trace.placed(&place, self.tries, waited, &size);
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

    async fn try_engines(
        &mut self,
        guard: &mut place_guard::PlaceGuard,
    ) -> Result<stream_opening::OpenedStream, StepFailure> {
        let source = self.read_prompt(guard).await?;
        self.generate(guard, source).await
    }

    /// Has the prefill engine read the prompt.
    async fn read_prompt(
        &mut self,
        guard: &place_guard::PlaceGuard,
    ) -> Result<Option<relay_client::KvSource>, StepFailure> {
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
        let took = self.gateway.port.now().since(started);
        let silent = result.is_err();
        let error = match result {
            Ok(Ok(source)) => {
                guard.prefill_ended(relay::BackendOutcome::Succeeded);
                self.trace.prompt_read(&entry.server, took);
                return Ok(Some(source));
            }
            Ok(Err(error)) => error,
            Err(_) => border::BorderError::Lost {
                detail: format!("the prompt wasn't read within {} ms", patience.as_millis()),
            },
        };
        let outcome = if silent {
            relay::BackendOutcome::Silent
        } else {
            whole_reply::outcome_of(&error)
        };
        guard.prefill_ended(outcome);
        Err(StepFailure {
            stage: "prefill",
            server: entry.server,
            engine: key,
            outcome,
            // Reading a prompt doesn't run the request.
            not_run: true,
            error: error.to_string(),
            reply: None,
        })
    }

    /// Has the decode engine generate, up to the first event.
    async fn generate(
        &mut self,
        guard: &mut place_guard::PlaceGuard,
        source: Option<relay_client::KvSource>,
    ) -> Result<stream_opening::OpenedStream, StepFailure> {
        let (key, entry) = guard.place.decode.clone();
        let time_left = self.routed.time_left(self.gateway.port.now());
        let step = relay_client::RelayStep::Decode {
            source,
            resume_after: self.last_event,
        };
        let send = self.send_to(&entry, step, time_left);
        guard.sent();
        let opening =
            stream_opening::first_event(self.gateway.client.send(&self.routed.request, send));
        let result = tokio::time::timeout(time_left, opening).await;
        let failure = match result {
            Ok(Ok(opened)) => {
                guard.first_token();
                self.runs += 1;
                return Ok(opened);
            }
            Ok(Err(failure)) => failure,
            Err(_) => stream_opening::OpenFailure {
                outcome: relay::BackendOutcome::Silent,
                not_run: false,
                error: "no event in time".to_owned(),
                reply: None,
            },
        };
        if !failure.not_run {
            self.runs += 1;
        }
        Err(StepFailure {
            stage: "decode",
            server: entry.server,
            engine: key,
            outcome: failure.outcome,
            not_run: failure.not_run,
            error: failure.error,
            reply: failure.reply,
        })
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

    /// Decides whether another attempt follows a failure.
    fn goes_on(&mut self, failure: &StepFailure, took: time::Duration) -> bool {
        self.avoid.push(failure.engine);
        let now = self.gateway.port.now();
        let route = &self.routed.route;
        let may_run = failure.not_run || (route.may_run_again() && self.runs < route.attempt_limit);
        let next = if self.routed.time_left(now).is_zero() {
            "out_of_time"
        } else if self.tries >= TRY_LIMIT {
            "out_of_tries"
        } else if !may_run {
            "may_have_run"
        } else if !self.take_repeats() {
            "retry_bound"
        } else if self.trace.has_started() {
            "resume"
        } else {
            "retry"
        };
        self.gateway.metrics.attempt_failed(failure.stage);
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::AttemptFailed {
                id: &self.routed.request.id,
                stage: failure.stage,
                server: failure.server.as_str(),
                outcome: failure.outcome.into(),
                error: &failure.error,
                not_run: failure.not_run,
                took_ms: gateway::millis(took),
                next,
            });
        matches!(next, "retry" | "resume")
    }

    /// Takes what another attempt costs out of the share of repeats: a prompt and a generation.
    fn take_repeats(&self) -> bool {
        let service = &self.routed.service;
        self.gateway
            .port
            .decide(|core, now| core.take_repeat(now, service) && core.take_repeat(now, service))
    }

    fn pass_on(mut self, reply: whole_reply::WholeReply) -> relay_answer::RelayAnswer {
        self.trace
            .ended("relayed", None, Some(reply.status.as_u16()), None);
        relay_answer::RelayAnswer::Whole {
            status: reply.status,
            headers: reply.headers,
            body: reply.body,
        }
    }

    fn refuse(mut self, refusal: Option<relay::Refusal>) -> relay_answer::RelayAnswer {
        let now = self.gateway.port.now();
        let answer = if self.runs == 0 {
            relay_answer::OwnAnswer::NotRun
        } else if self.routed.time_left(now).is_zero() {
            relay_answer::OwnAnswer::TimedOut
        } else {
            relay_answer::OwnAnswer::Unknown
        };
        let retry_after = (answer == relay_answer::OwnAnswer::NotRun).then(|| {
            refusal.map_or(time::Duration::from_millis(500), |refusal| {
                refusal.retry_after
            })
        });
        self.trace.ended(
            answer.into(),
            refusal.map(|refusal| refusal.reason),
            Some(answer.status().as_u16()),
            retry_after,
        );
        relay_answer::RelayAnswer::Own {
            answer,
            retry_after,
        }
    }

    /// Returns the next whole event, or `None` at the end of the stream.
    async fn next_event(&mut self) -> Result<Option<bytes::Bytes>, border::BorderError> {
        loop {
            let Some(open) = self.open.as_mut() else {
                return Ok(None);
            };
            let key = open.guard.place.key;
            if let Some(event) = open.stream.splitter.next_event() {
                if let Some(error) = self.check_number(&event) {
                    self.resume("stream", relay::BackendOutcome::Broken, error)
                        .await?;
                    continue;
                }
                self.trace.event();
                let tokens = self.tokens_per_event;
                self.gateway
                    .port
                    .decide(|core, now| core.progressed(now, key, tokens));
                return Ok(Some(event.bytes));
            }
            let time_left = self.routed.deadline.since(self.gateway.port.now());
            let patience = if self.routed.route.resumable {
                STALL_LIMIT.min(time_left)
            } else {
                time_left
            };
            let (outcome, error) =
                match tokio::time::timeout(patience, open.stream.body.next()).await {
                    Ok(Some(Ok(piece))) => {
                        open.stream.splitter.push(&piece);
                        continue;
                    }
                    Ok(None) if open.stream.splitter.is_empty() => {
                        open.guard.end(relay::BackendOutcome::Succeeded);
                        self.trace.ended("relayed", None, Some(200), None);
                        self.open = None;
                        return Ok(None);
                    }
                    Ok(None) => (
                        relay::BackendOutcome::Broken,
                        "ended within an event".to_owned(),
                    ),
                    Ok(Some(Err(error))) => (relay::BackendOutcome::Broken, error.to_string()),
                    Err(_) => (relay::BackendOutcome::Silent, "stalled".to_owned()),
                };
            self.resume("stream", outcome, error).await?;
        }
    }

    /// Takes in an event's number; returns what is wrong with it.
    fn check_number(&mut self, event: &event_splitter::StreamEvent) -> Option<String> {
        let number = event.number?;
        if let Some(last) = self.last_event
            && number != last + 1
        {
            return Some(format!("event {number} after event {last}"));
        }
        self.last_event = Some(number);
        None
    }

    /// Goes on at other engines behind the events that the caller has.
    async fn resume(
        &mut self,
        stage: &'static str,
        outcome: relay::BackendOutcome,
        error: String,
    ) -> Result<(), border::BorderError> {
        let Some(mut open) = self.open.take() else {
            return Ok(());
        };
        open.guard.end(outcome);
        let failure = StepFailure {
            stage,
            server: open.guard.decode_server(),
            engine: open.guard.place.decode.0,
            outcome,
            not_run: false,
            error: error.clone(),
            reply: None,
        };
        drop(open);
        let mut goes_on = self.goes_on(&failure, self.trace.since_last_event());
        if goes_on {
            match self.open_stream().await {
                Ok(open) => self.open = Some(open),
                Err(_) => goes_on = false,
            }
        }
        if goes_on {
            return Ok(());
        }
        self.trace.ended("broken_off", None, Some(200), None);
        Err(border::BorderError::Lost { detail: error })
    }
}

/// Returns the next piece of a stream and what follows it.
async fn next_piece(
    session: Option<StreamSession>,
) -> Option<(
    Result<bytes::Bytes, border::BorderError>,
    Option<StreamSession>,
)> {
    let mut session = session?;
    match session.next_event().await {
        Ok(Some(bytes)) => Some((Ok(bytes), Some(session))),
        Ok(None) => None,
        Err(error) => Some((Err(error), None)),
    }
}
