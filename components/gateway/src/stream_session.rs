//! One generation, from the arrival of the request to the last event.

use std::{sync, time};

use futures_util::stream;

use crate::{
    buffered_reply, drain_tally, gateway, relay_answer, relay_request, run_evidence, stream_opener,
};

/// Time without an event after which a resumable stream is resumed on another engine. Sound engines
/// pause for a second or so; callers leave after more than two.
const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Retry delay that callers receive when all attempts were refused.
const REFUSED_RETRY_AFTER: time::Duration = time::Duration::from_millis(500);

/// One generation, from the arrival of the request to the last event.
pub(crate) struct StreamSession {
    opener: stream_opener::StreamOpener,
    /// Maximum number of tokens in one event.
    tokens_per_event: u32,
    placed: Option<stream_opener::PlacedStream>,
}

/// Stream that has been opened.
enum OpenedStream {
    /// At an engine, which has sent the first event.
    Here(Box<stream_opener::PlacedStream>),
    /// At another instance, with its answer.
    Elsewhere(relay_answer::RelayAnswer),
}

impl StreamSession {
    pub(crate) fn new(
        gateway: sync::Arc<gateway::Gateway>,
        routed: gateway::RoutedRequest,
        size: relay_request::GenerationSize,
    ) -> Self {
        let tokens_per_event = gateway
            .core
            .decide(|core, _| core.tokens_per_event(&routed.service));
        Self {
            opener: stream_opener::StreamOpener::new(gateway, routed, size),
            tokens_per_event,
            placed: None,
        }
    }

    pub(crate) async fn serve(mut self) -> relay_answer::RelayAnswer {
        let gateway = sync::Arc::clone(&self.opener.gateway);
        let opened = tokio::select! {
            biased;
            opened = self.open() => opened,
            () = gateway.core.answers_due() => return self.end_open(),
        };
        match opened {
            Ok(OpenedStream::Elsewhere(answer)) => answer,
            Ok(OpenedStream::Here(placed)) => {
                let status = placed.stream.status;
                let headers = placed.stream.headers.clone();
                self.placed = Some(*placed);
                relay_answer::RelayAnswer::Stream {
                    status,
                    headers,
                    body: Box::pin(stream::unfold(Some(self), next_event_chunk)),
                }
            }
            Err(stream_opener::OpenError::Reply(reply)) => self.relay_reply(reply),
            Err(stream_opener::OpenError::Refused(refusal)) => self.answer_failure(Some(refusal)),
            Err(stream_opener::OpenError::Failed | stream_opener::OpenError::OutOfReach) => {
                self.answer_failure(None)
            }
        }
    }

    /// Opens the stream, here or at another instance.
    async fn open(&mut self) -> Result<OpenedStream, stream_opener::OpenError> {
        if let Some(refusal) = self.opener.late_refusal() {
            return Err(stream_opener::OpenError::Refused(refusal));
        }
        let bound = self.opener.bind_to_origin().await;
        bound.map_err(stream_opener::OpenError::Refused)?;
        if self.opener.should_hand_over()
            && let Some(answer) = self.hand_over().await
        {
            return Ok(OpenedStream::Elsewhere(answer));
        }
        let opened = self
            .opener
            .open(stream_opener::OpenMode::NewPlacement)
            .await;
        if matches!(opened, Err(stream_opener::OpenError::OutOfReach))
            && let Some(answer) = self.hand_over().await
        {
            return Ok(OpenedStream::Elsewhere(answer));
        }
        opened.map(|placed| OpenedStream::Here(Box::new(placed)))
    }

    /// Answers a request without an event that is open when this instance ends.
    fn end_open(self) -> relay_answer::RelayAnswer {
        let gateway = &self.opener.gateway;
        let answer = gateway.answer_at_end(&self.opener.routed);
        self.answer_locally(answer, Some(relay::DRAIN_REFUSAL))
    }

    /// Lets another instance serve the request; returns `None` when none has taken it.
    async fn hand_over(&mut self) -> Option<relay_answer::RelayAnswer> {
        let gateway = sync::Arc::clone(&self.opener.gateway);
        let answer = gateway.proxy(&self.opener.routed).await?;
        self.opener.trace.handed_over();
        Some(answer)
    }

    fn relay_reply(mut self, reply: buffered_reply::BufferedReply) -> relay_answer::RelayAnswer {
        self.opener.record_answer();
        self.opener
            .trace
            .ended("relayed", None, Some(reply.status.as_u16()), None);
        relay_answer::RelayAnswer::Buffered {
            status: reply.status,
            headers: reply.headers,
            body: reply.body,
        }
    }

    fn answer_failure(self, refusal: Option<relay::Refusal>) -> relay_answer::RelayAnswer {
        let now = self.opener.gateway.core.now();
        let answer = if !self.opener.may_have_run() {
            relay_answer::LocalAnswer::NotRun
        } else if self.opener.routed.time_left(now).is_zero() {
            relay_answer::LocalAnswer::TimedOut
        } else {
            relay_answer::LocalAnswer::Unknown
        };
        let gateway = &self.opener.gateway;
        gateway.count_refusal(&self.opener.routed, answer, refusal);
        self.answer_locally(answer, refusal)
    }

    fn answer_locally(
        mut self,
        answer: relay_answer::LocalAnswer,
        refusal: Option<relay::Refusal>,
    ) -> relay_answer::RelayAnswer {
        let retry_after = (answer == relay_answer::LocalAnswer::NotRun)
            .then(|| refusal.map_or(REFUSED_RETRY_AFTER, |refusal| refusal.retry_after));
        self.opener.trace.ended(
            answer.into(),
            refusal.map(|refusal| refusal.reason),
            Some(answer.status().as_u16()),
            retry_after,
        );
        relay_answer::RelayAnswer::Local {
            answer,
            retry_after,
        }
    }

    /// Returns the next complete event, or `None` at the end of the stream.
    ///
    /// An engine that sends bytes without completing an event stalls like one that sends nothing.
    async fn next_event(&mut self) -> Result<Option<bytes::Bytes>, border::BorderError> {
        loop {
            let stalls_at = self.stalls_at();
            let Some(placed) = self.placed.as_mut() else {
                return Ok(None);
            };
            let key = placed.guard.placement.key;
            let next = tokio::time::timeout_at(stalls_at, placed.stream.next_event()).await;
            let (outcome, error) = match next {
                Ok(Ok(Some(event))) => {
                    self.opener.last_event = event.number;
                    self.count_event(key);
                    return Ok(Some(event.bytes));
                }
                Ok(Ok(None)) => return Ok(self.finish()),
                Ok(Err(error)) => (relay::BackendOutcome::Broken, error.to_string()),
                Err(_) => (relay::BackendOutcome::TimedOut, "stalled".to_owned()),
            };
            if self.is_over() {
                return Err(self.break_off());
            }
            self.resume(outcome, error).await?;
        }
    }

    /// Returns the time at which the stream counts as stalled if no event has completed.
    fn stalls_at(&self) -> tokio::time::Instant {
        let routed = &self.opener.routed;
        let time_left = routed.time_left(self.opener.gateway.core.now());
        let timeout = if routed.route.resumable {
            STALL_TIMEOUT.min(time_left)
        } else {
            time_left
        };
        let until_end = self.until_end().unwrap_or(timeout);
        tokio::time::Instant::now() + timeout.min(until_end)
    }

    /// Returns the time until streams break off since this instance ends, if it stops.
    fn until_end(&self) -> Option<time::Duration> {
        let core = &self.opener.gateway.core;
        let plan = core.drain_plan()?;
        Some(plan.streams_by.since(core.now()))
    }

    fn is_over(&self) -> bool {
        self.until_end().is_some_and(|left| left.is_zero())
    }

    /// Ends a stream that is open when this instance ends.
    fn break_off(&mut self) -> border::BorderError {
        let routed = &self.opener.routed;
        let outcome = drain_tally::DrainOutcome::BrokenOff;
        self.opener
            .gateway
            .core
            .count_drained(outcome, routed.arrived);
        self.placed = None;
        let reason = Some(relay::RefusalReason::ShuttingDown);
        self.opener
            .trace
            .ended("broken_off", reason, Some(200), None);
        border::BorderError::Lost {
            detail: "the instance ends".to_owned(),
        }
    }

    fn count_event(&mut self, key: relay::StreamKey) {
        self.opener.trace.record_event();
        let tokens = self.tokens_per_event;
        self.opener
            .gateway
            .core
            .decide(|core, now| core.record_progress(now, key, tokens));
    }

    /// Ends the stream; returns the comments after its last event, if there are any.
    fn finish(&mut self) -> Option<bytes::Bytes> {
        let mut placed = self.placed.take()?;
        placed.guard.release(relay::BackendOutcome::Succeeded);
        self.opener.record_answer();
        self.opener.trace.ended("relayed", None, Some(200), None);
        Some(placed.stream.events.last_comments()).filter(|comments| !comments.is_empty())
    }

    /// Resumes the stream after the last event that the caller has received, if a retry is allowed.
    async fn resume(
        &mut self,
        outcome: relay::BackendOutcome,
        error: String,
    ) -> Result<(), border::BorderError> {
        let Some(placed) = self.placed.take() else {
            return Ok(());
        };
        let mut guard = placed.guard;
        let failed = stream_opener::StepError {
            failure: relay::StepFailure::builder()
                .step(relay::StreamStep::Generate)
                .outcome(outcome)
                .not_run(false)
                .build(),
            evidence: run_evidence::RunEvidence::default(),
            server: guard.decode_server(),
            engine: guard.placement.decode.0,
            sent_at: guard.sent_at(),
            error,
            reply: None,
        };
        // Dropping the body stops the engine before another one resumes the stream.
        drop(placed.stream);
        let last_event_at = self.opener.trace.last_event_at();
        let next = self.opener.next_step(&failed, last_event_at);
        let mode = match next {
            relay::NextStep::RetryDecode => stream_opener::OpenMode::KeepPlacement(Box::new(guard)),
            _ => {
                guard.release(outcome);
                stream_opener::OpenMode::NewPlacement
            }
        };
        if next.is_retry()
            && let Ok(placed) = self.opener.open(mode).await
        {
            self.placed = Some(placed);
            return Ok(());
        }
        self.opener.trace.ended("broken_off", None, Some(200), None);
        Err(border::BorderError::Lost {
            detail: failed.error,
        })
    }
}

/// Returns the next event of a stream and the session, or `None` at the end of the stream.
async fn next_event_chunk(
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
