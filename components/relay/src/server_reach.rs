//! What requests of this instance show about its path to a server.

use std::time;

use crate::backend_health;

/// Time without an answer from which a server counts as lost; sound ones pause for a second or so.
pub const SILENCE_LIMIT: time::Duration = time::Duration::from_millis(1_500);

/// Time for which an answer shows that a server is reached.
const EVIDENCE_TIME: time::Duration = time::Duration::from_secs(3);

/// What requests of this instance show about its path to a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerReach {
    /// Time of the last answer, whatever it was.
    answered_at: Option<clock::Timestamp>,
    /// Time since which no request has been answered.
    silent_since: Option<clock::Timestamp>,
    is_lost: bool,
    /// Time of the last probe.
    probed_at: clock::Timestamp,
}

impl ServerReach {
    /// Records the outcome of a request that ended at `now`, after `latency`.
    pub fn record(
        &mut self,
        now: clock::Timestamp,
        outcome: backend_health::BackendOutcome,
        latency: time::Duration,
    ) {
        use backend_health::BackendOutcome as Outcome;
        match outcome {
            Outcome::Succeeded | Outcome::Failed | Outcome::Refused => self.record_answer(now),
            Outcome::Unreachable | Outcome::Broken => self.is_lost = true,
            Outcome::TimedOut => {
                let silent_since = *self.silent_since.get_or_insert(now.before(latency));
                self.is_lost |= now.since(silent_since) >= SILENCE_LIMIT;
            }
            Outcome::Abandoned => {}
        }
    }

    /// Records that the server has answered.
    pub const fn record_answer(&mut self, now: clock::Timestamp) {
        self.answered_at = Some(now);
        self.silent_since = None;
        self.is_lost = false;
    }

    /// Returns whether the last request got no answer: its connection didn't open or broke, or the
    /// server has been silent for long.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Returns whether the server has answered recently, and every request since.
    #[must_use]
    pub fn is_reached(&self, now: clock::Timestamp) -> bool {
        !self.is_lost && self.has_answered_within(now, EVIDENCE_TIME)
    }

    /// Returns whether the server has answered within a time.
    #[must_use]
    pub fn has_answered_within(&self, now: clock::Timestamp, time: time::Duration) -> bool {
        self.answered_at.is_some_and(|at| now.since(at) < time)
    }

    /// Returns the time of the last probe.
    #[must_use]
    pub const fn probed_at(&self) -> clock::Timestamp {
        self.probed_at
    }

    /// Records that the server is probed.
    pub const fn record_probe(&mut self, now: clock::Timestamp) {
        self.probed_at = now;
    }
}
