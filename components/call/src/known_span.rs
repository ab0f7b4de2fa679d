//! How far back a memory is complete.

use std::time;

/// How far back a memory is complete: a span before a moment, and all time since.
///
/// The span may reach back beyond the start of this process's clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownSpan {
    at: clock::Timestamp,
    span: time::Duration,
}

impl KnownSpan {
    /// Makes a span that reaches back from `at`.
    pub const fn new(at: clock::Timestamp, span: time::Duration) -> Self {
        Self { at, span }
    }

    /// Returns how far back from `now` the memory is complete.
    pub fn length(&self, now: clock::Timestamp) -> time::Duration {
        self.span.saturating_add(now.since(self.at))
    }
}
