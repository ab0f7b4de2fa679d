//! Window in which the recorded claims are complete.

use std::time;

/// Window in which the recorded claims are complete; it starts `duration` before `as_of` and has no
/// end.
///
/// The window may start before the start of this process's clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CoverageWindow {
    as_of: clock::Timestamp,
    duration: time::Duration,
}

impl CoverageWindow {
    /// Creates a window that starts `duration` before `as_of`.
    pub const fn new(as_of: clock::Timestamp, duration: time::Duration) -> Self {
        Self { as_of, duration }
    }

    /// Returns the time before `now` for which the claims are complete.
    pub fn length(&self, now: clock::Timestamp) -> time::Duration {
        self.duration.saturating_add(now.since(self.as_of))
    }
}
