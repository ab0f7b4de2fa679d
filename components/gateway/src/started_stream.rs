//! A stream of a decode engine whose first event has arrived.

use crate::{buffered_reply, event_reader, event_splitter, relay_client, run_evidence};

/// Content type of streams of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A stream of a decode engine whose first event has arrived.
pub(crate) struct StartedStream {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    /// First event, until it is relayed.
    pub(crate) first: Option<event_splitter::StreamEvent>,
    /// Reads the events after the first one.
    pub(crate) events: event_reader::EventReader,
}

/// Failure of a request to a decode engine before the first event.
pub(crate) struct StartFailure {
    pub(crate) outcome: relay::BackendOutcome,
    pub(crate) evidence: run_evidence::RunEvidence,
    /// Whether the request may have reached the engine.
    pub(crate) may_have_arrived: bool,
    pub(crate) error: String,
    /// Error response of the engine, if it may be relayed to the caller.
    pub(crate) reply: Option<buffered_reply::BufferedReply>,
}

impl From<border::BorderError> for StartFailure {
    fn from(error: border::BorderError) -> Self {
        Self {
            outcome: buffered_reply::outcome_of(&error),
            evidence: run_evidence::RunEvidence::from(&error),
            may_have_arrived: !matches!(error, border::BorderError::NotSent { .. }),
            error: error.to_string(),
            reply: None,
        }
    }
}

impl StartedStream {
    /// Waits for the next event; returns `None` at the end of the stream. Dropping the future loses
    /// nothing.
    pub(crate) async fn next_event(
        &mut self,
    ) -> Result<Option<event_splitter::StreamEvent>, border::BorderError> {
        match self.first.take() {
            Some(event) => Ok(Some(event)),
            None => self.events.next().await,
        }
    }
}

/// Waits for the reply and for its first event, the one after the event `last`; what is read takes a share
/// of the memory for answers.
pub(crate) async fn first_event(
    reply: impl Future<Output = Result<relay_client::RelayReply, border::BorderError>>,
    last: Option<u64>,
    share: client::AnswerShare,
) -> Result<StartedStream, StartFailure> {
    let reply = reply.await?;
    if reply.refusal.is_some() || !reply.status.is_success() {
        return Err(response_failure(
            buffered_reply::collect(reply, share).await?,
        ));
    }
    check_head(reply.status, &reply.headers)?;
    let mut events = event_reader::EventReader::new(reply.body, last, share);
    let first = events
        .next()
        .await?
        .ok_or_else(|| border::BorderError::Lost {
            detail: "the stream ended before its first event".to_owned(),
        })?;
    Ok(StartedStream {
        status: reply.status,
        headers: reply.headers,
        first: Some(first),
        events,
    })
}

/// Checks that the head of a reply is that of a stream.
fn check_head(
    status: http::StatusCode,
    headers: &http::HeaderMap,
) -> Result<(), border::BorderError> {
    let content_type = headers.get(http::header::CONTENT_TYPE);
    let is_stream = content_type.is_none_or(|value| {
        let value = value.as_bytes().split(|byte| *byte == b';').next();
        value.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
    });
    if status == http::StatusCode::OK && is_stream {
        return Ok(());
    }
    Err(border::BorderError::Malformed {
        detail: format!("no stream: status {status}, content type {content_type:?}"),
    })
}

fn response_failure(reply: buffered_reply::BufferedReply) -> StartFailure {
    let body = String::from_utf8_lossy(&reply.body);
    let error = format!("status {}: {}", reply.status, body.trim());
    let evidence = reply.evidence;
    if let Some(outcome) = reply.refusal_outcome() {
        return StartFailure {
            outcome,
            evidence,
            may_have_arrived: true,
            error,
            reply: None,
        };
    }
    StartFailure {
        outcome: relay::BackendOutcome::Failed,
        evidence,
        may_have_arrived: true,
        error,
        reply: Some(reply),
    }
}
