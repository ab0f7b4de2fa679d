//! Time for which an instance forwards the state updates of others.

/// What an instance has forwarded since it began to.
pub(crate) struct ForwardingTerm {
    begun_at: clock::Timestamp,
    /// Bytes sent to all receivers together.
    sent_bytes: u64,
}

impl ForwardingTerm {
    pub(crate) const fn begin(now: clock::Timestamp) -> Self {
        Self {
            begun_at: now,
            sent_bytes: 0,
        }
    }

    /// Records a datagram that was sent to each of `receivers` instances.
    pub(crate) const fn record(&mut self, bytes: usize, receivers: usize) {
        self.sent_bytes = self.sent_bytes.saturating_add((bytes * receivers) as u64);
    }

    pub(crate) const fn begun_at(&self) -> clock::Timestamp {
        self.begun_at
    }

    pub(crate) const fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }
}
