//! Reads the events of one engine's reply.

use futures_util::StreamExt as _;

use crate::{event_splitter, relay_client};

/// Numbers with which a stream may begin.
const FIRST_NUMBERS: std::ops::RangeInclusive<u64> = 0..=1;

/// Longest part of a foreign block that is logged, in characters.
const MAX_LOGGED_CHARS: usize = 64;

/// Reads the events of one engine's reply and checks that each one is the next of the stream.
pub(crate) struct EventReader {
    body: relay_client::ReplyBody,
    splitter: event_splitter::EventSplitter,
    /// Memory that incomplete events take.
    share: client::AnswerShare,
    /// Number of the last event of the stream.
    last: Option<u64>,
}

impl EventReader {
    /// Creates a reader for a body that goes on after the event `last`, or begins the stream.
    pub(crate) fn new(
        body: relay_client::ReplyBody,
        last: Option<u64>,
        share: client::AnswerShare,
    ) -> Self {
        Self {
            body,
            splitter: event_splitter::EventSplitter::default(),
            share,
            last,
        }
    }

    /// Waits for the next event; returns `None` at the end of the stream. Dropping the future loses
    /// nothing.
    ///
    /// # Errors
    ///
    /// Returns `Lost` when the body breaks off, and `Malformed` when something else than the next
    /// event arrives.
    pub(crate) async fn next(
        &mut self,
    ) -> Result<Option<event_splitter::StreamEvent>, border::BorderError> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return self.check(event).map(Some);
            }
            match self.body.next().await {
                Some(chunk) => {
                    self.splitter.push(&chunk?)?;
                    self.share.hold(self.splitter.pending_bytes())?;
                }
                None if self.splitter.is_empty() => return Ok(None),
                None => {
                    return Err(border::BorderError::Lost {
                        detail: "the stream ended within an event".to_owned(),
                    });
                }
            }
        }
    }

    /// Returns the comments after the last event, once the stream has ended.
    pub(crate) fn last_comments(&mut self) -> bytes::Bytes {
        self.splitter.take_comments()
    }

    fn check(
        &mut self,
        event: event_splitter::StreamEvent,
    ) -> Result<event_splitter::StreamEvent, border::BorderError> {
        let Some(number) = event.number else {
            return Err(self.foreign(&event.bytes));
        };
        let is_next = match self.last {
            Some(last) => last.checked_add(1) == Some(number),
            None => FIRST_NUMBERS.contains(&number),
        };
        if !is_next {
            return Err(malformed(format!(
                "event {number} after {}",
                self.last_text()
            )));
        }
        self.last = Some(number);
        Ok(event)
    }

    fn foreign(&self, bytes: &[u8]) -> border::BorderError {
        let text = String::from_utf8_lossy(bytes);
        let line = text.lines().next().unwrap_or_default();
        let line: String = line.chars().take(MAX_LOGGED_CHARS).collect();
        malformed(format!("no event after {}: {line:?}", self.last_text()))
    }

    fn last_text(&self) -> String {
        self.last
            .map_or_else(|| "the head".to_owned(), |last| format!("event {last}"))
    }
}

fn malformed(detail: String) -> border::BorderError {
    border::BorderError::Malformed { detail }
}
