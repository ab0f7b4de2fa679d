//! What has been sent, received and acknowledged on one link.

use tokio::time;

/// What has been sent, received and acknowledged on one link.
#[derive(Debug)]
pub(crate) struct LinkCounts {
    sent: u64,
    acknowledged: u64,
    received: u64,
    received_told: u64,
    /// Since when messages are unacknowledged without any progress.
    waiting_since: Option<time::Instant>,
    used_at: time::Instant,
}

impl LinkCounts {
    /// Makes the counts of a link opened at `now`.
    pub(crate) const fn new(now: time::Instant) -> Self {
        Self {
            sent: 0,
            acknowledged: 0,
            received: 0,
            received_told: 0,
            waiting_since: None,
            used_at: now,
        }
    }

    /// Counts a message that is about to be sent; returns its number.
    pub(crate) fn count_sent(&mut self, now: time::Instant) -> u64 {
        self.sent += 1;
        self.used_at = now;
        self.waiting_since.get_or_insert(now);
        self.sent
    }

    /// Takes the counts of a received envelope.
    pub(crate) fn take(&mut self, now: time::Instant, sequence: u64, acknowledged: u64) {
        if sequence > 0 {
            self.received = self.received.max(sequence);
            self.used_at = now;
        }
        let acknowledged = acknowledged.min(self.sent);
        if acknowledged > self.acknowledged {
            self.acknowledged = acknowledged;
            self.waiting_since = (acknowledged < self.sent).then_some(now);
        }
    }

    /// Returns the acknowledgement to send, and notes that it was told.
    pub(crate) const fn tell_received(&mut self) -> u64 {
        self.received_told = self.received;
        self.received
    }

    /// Returns whether received messages aren't acknowledged yet.
    pub(crate) const fn owes_ack(&self) -> bool {
        self.received > self.received_told
    }

    /// Returns whether every message sent was acknowledged.
    pub(crate) const fn is_settled(&self) -> bool {
        self.acknowledged == self.sent
    }

    /// Returns whether any message sent was acknowledged.
    pub(crate) const fn was_acknowledged(&self) -> bool {
        self.acknowledged > 0
    }

    /// Returns when the link counts as silent unless an acknowledgement arrives.
    pub(crate) fn silent_at(&self, timeout: time::Duration) -> Option<time::Instant> {
        self.waiting_since.map(|since| since + timeout)
    }

    /// Returns when the link counts as idle unless a message is sent or received.
    pub(crate) fn idle_at(&self, timeout: time::Duration) -> time::Instant {
        self.used_at + timeout
    }
}
