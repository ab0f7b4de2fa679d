//! One generation, from its arrival to its last event.

use std::{sync, time};

use futures_util::{StreamExt as _, stream};

use crate::{event_splitter, gateway, relay_answer, relay_request, stream_opener, whole_reply};

/// Silence after which a stream that can be resumed goes on elsewhere.
const STALL_LIMIT: time::Duration = time::Duration::from_millis(1_500);

/// Time after which a caller may come back when every engine that was tried refused.
const REFUSED_RETRY: time::Duration = time::Duration::from_millis(500);

/// One generation, from its arrival to its last event.
pub(crate) struct StreamSession {
    opener: stream_opener::StreamOpener,
    /// Tokens that one event stands for.
    tokens_per_event: u32,
    open: Option<stream_opener::OpenStream>,
}

impl StreamSession {
    pub(crate) fn new(
        gateway: sync::Arc<gateway::Gateway>,
        routed: gateway::RoutedRequest,
        size: relay_request::GenerationSize,
    ) -> Self {
        let tokens_per_event = gateway
            .port
            .decide(|core, _| core.tokens_per_event(&routed.service));
        Self {
            opener: stream_opener::StreamOpener::new(gateway, routed, size),
            tokens_per_event,
            open: None,
        }
    }

    pub(crate) async fn serve(mut self) -> relay_answer::RelayAnswer {
        match self.opener.open(stream_opener::OpenFrom::Nothing).await {
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
            Err(stream_opener::GiveUp::Reply(reply)) => self.pass_on(reply),
            Err(stream_opener::GiveUp::Refused(refusal)) => self.refuse(Some(refusal)),
            Err(stream_opener::GiveUp::Failed) => self.refuse(None),
        }
    }

    fn pass_on(mut self, reply: whole_reply::WholeReply) -> relay_answer::RelayAnswer {
        self.opener
            .trace
            .ended("relayed", None, Some(reply.status.as_u16()), None);
        relay_answer::RelayAnswer::Whole {
            status: reply.status,
            headers: reply.headers,
            body: reply.body,
        }
    }

    fn refuse(mut self, refusal: Option<relay::Refusal>) -> relay_answer::RelayAnswer {
        let now = self.opener.gateway.port.now();
        let answer = if !self.opener.may_have_run() {
            relay_answer::OwnAnswer::NotRun
        } else if self.opener.routed.time_left(now).is_zero() {
            relay_answer::OwnAnswer::TimedOut
        } else {
            relay_answer::OwnAnswer::Unknown
        };
        let retry_after = (answer == relay_answer::OwnAnswer::NotRun)
            .then(|| refusal.map_or(REFUSED_RETRY, |refusal| refusal.retry_after));
        self.opener.trace.ended(
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
                    self.resume(relay::BackendOutcome::Broken, error).await?;
                    continue;
                }
                self.count_event(key);
                return Ok(Some(event.bytes));
            }
            let patience = self.patience();
            let Some(open) = self.open.as_mut() else {
                return Ok(None);
            };
            let (outcome, error) =
                match tokio::time::timeout(patience, open.stream.body.next()).await {
                    Ok(Some(Ok(piece))) => {
                        open.stream.splitter.push(&piece);
                        continue;
                    }
                    Ok(None) if open.stream.splitter.is_empty() => {
                        self.finish();
                        return Ok(None);
                    }
                    Ok(None) => (
                        relay::BackendOutcome::Broken,
                        "ended within an event".to_owned(),
                    ),
                    Ok(Some(Err(error))) => (relay::BackendOutcome::Broken, error.to_string()),
                    Err(_) => (relay::BackendOutcome::TimedOut, "stalled".to_owned()),
                };
            self.resume(outcome, error).await?;
        }
    }

    /// Returns how long the next event may take.
    fn patience(&self) -> time::Duration {
        let routed = &self.opener.routed;
        let time_left = routed.time_left(self.opener.gateway.port.now());
        if routed.route.resumable {
            STALL_LIMIT.min(time_left)
        } else {
            time_left
        }
    }

    fn count_event(&mut self, key: relay::StreamKey) {
        self.opener.trace.event();
        let tokens = self.tokens_per_event;
        self.opener
            .gateway
            .port
            .decide(|core, now| core.record_progress(now, key, tokens));
    }

    fn finish(&mut self) {
        if let Some(mut open) = self.open.take() {
            open.guard.end(relay::BackendOutcome::Succeeded);
        }
        self.opener.trace.ended("relayed", None, Some(200), None);
    }

    /// Takes in an event's number; returns what is wrong with it.
    fn check_number(&mut self, event: &event_splitter::StreamEvent) -> Option<String> {
        let number = event.number?;
        if let Some(last) = self.opener.last_event
            && number != last + 1
        {
            return Some(format!("event {number} after event {last}"));
        }
        self.opener.last_event = Some(number);
        None
    }

    /// Goes on behind the events that the caller has.
    async fn resume(
        &mut self,
        outcome: relay::BackendOutcome,
        error: String,
    ) -> Result<(), border::BorderError> {
        let Some(open) = self.open.take() else {
            return Ok(());
        };
        let mut guard = open.guard;
        let failed = stream_opener::StepError {
            failure: relay::StepFailure::builder()
                .step(relay::StreamStep::Generate)
                .outcome(outcome)
                .not_run(false)
                .build(),
            server: guard.decode_server(),
            engine: guard.place.decode.0,
            error,
            reply: None,
        };
        // The body is dropped here, so that the engine stops before another one goes on.
        drop(open.stream);
        let last_event_at = self.opener.trace.last_event_at();
        let next = self.opener.next_step(&failed, last_event_at);
        let from = match next {
            relay::NextStep::RetryDecode => stream_opener::OpenFrom::Place(Box::new(guard)),
            _ => {
                guard.end(outcome);
                stream_opener::OpenFrom::Nothing
            }
        };
        if next.is_retry()
            && let Ok(open) = self.opener.open(from).await
        {
            self.open = Some(open);
            return Ok(());
        }
        self.opener.trace.ended("broken_off", None, Some(200), None);
        Err(border::BorderError::Lost {
            detail: failed.error,
        })
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
