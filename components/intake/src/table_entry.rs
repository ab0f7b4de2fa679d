//! One connection of the table.

use std::time;

use crate::{connection_class, connection_phase};

/// One connection of the table.
pub(crate) struct TableEntry {
    pub(crate) class: connection_class::ConnectionClass,
    pub(crate) phase: connection_phase::ConnectionPhase,
    /// Begin of the phase.
    pub(crate) since: clock::Timestamp,
    /// Arrival of the first byte of a head that isn't whole.
    pub(crate) head_since: Option<clock::Timestamp>,
    /// Time since which the client has taken nothing of what is to be sent.
    pub(crate) blocked_since: Option<clock::Timestamp>,
    /// Bytes that the connection, its request and its answers hold.
    pub(crate) held_bytes: usize,
    /// Part of them that is counted while the request is served.
    pub(crate) serving_bytes: usize,
    /// Part of them that answers hold which aren't sent yet.
    pub(crate) answer_bytes: usize,
    /// Time at which the connection was told to end.
    pub(crate) ending_since: Option<clock::Timestamp>,
}

impl TableEntry {
    /// Returns whether the connection has been told to end.
    pub(crate) const fn is_ending(&self) -> bool {
        self.ending_since.is_some()
    }

    /// Returns for how long the client has let the process wait; `None` while the process lets the
    /// client wait, or the connection ends.
    pub(crate) fn idle_time(&self, now: clock::Timestamp) -> Option<time::Duration> {
        if self.is_ending() {
            return None;
        }
        match self.phase {
            connection_phase::ConnectionPhase::Waiting
            | connection_phase::ConnectionPhase::Reading => Some(now.since(self.since)),
            connection_phase::ConnectionPhase::Serving => None,
            connection_phase::ConnectionPhase::Answering => {
                self.blocked_since.map(|since| now.since(since))
            }
        }
    }

    /// Returns the bytes held times the microseconds for which the client has let the process wait.
    pub(crate) fn cost(&self, now: clock::Timestamp) -> Option<u128> {
        let idle_time = self.idle_time(now)?;
        Some(self.held_bytes as u128 * idle_time.as_micros().max(1))
    }
}
