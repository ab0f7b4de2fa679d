//! Times of a planned stop.
//!
//! The load that this answers: callers on open connections whose requests become whole late in the grace
//! period, or take long, and that other instances could serve at once.

use std::time;

/// Time before the exit at which calls, and streams without an event, are answered at the latest, so
/// that the answers leave the process.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(250);

/// Time before the exit at which streams break off, after a whole event.
const STREAM_MARGIN: time::Duration = time::Duration::from_millis(50);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainPlan {
    /// Time of the signal.
    pub begun_at: clock::Timestamp,
    /// Time by which each request that hasn't had a part of its answer is answered.
    pub answers_by: clock::Timestamp,
    /// Time by which streams end.
    pub streams_by: clock::Timestamp,
    /// Time at which the process exits.
    pub exits_at: clock::Timestamp,
}

impl DrainPlan {
    /// Plans a stop of a process that exits `span` after the signal.
    #[must_use]
    pub fn new(now: clock::Timestamp, span: time::Duration) -> Self {
        Self {
            begun_at: now,
            answers_by: now + span.saturating_sub(ANSWER_MARGIN),
            streams_by: now + span.saturating_sub(STREAM_MARGIN),
            exits_at: now + span,
        }
    }

    /// Returns whether a call that is expected to take `expected` may still be sent to a server. Its
    /// `deadline` ends it in time, or it is expected to end itself.
    #[must_use]
    pub fn admits_call(
        &self,
        now: clock::Timestamp,
        expected: time::Duration,
        deadline: clock::Timestamp,
    ) -> bool {
        now < self.answers_by && (deadline <= self.answers_by || now + expected <= self.answers_by)
    }

    /// Returns whether a stream that is expected to take `expected` may still be sent to an engine.
    #[must_use]
    pub fn admits_stream(
        &self,
        now: clock::Timestamp,
        expected: time::Duration,
        deadline: clock::Timestamp,
    ) -> bool {
        now < self.answers_by && (deadline <= self.streams_by || now + expected <= self.streams_by)
    }
}
