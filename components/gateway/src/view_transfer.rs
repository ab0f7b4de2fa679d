//! Progress of the transfer of another instance's view.

use std::{net, time};

use crate::decision_event;

/// Progress of the transfer of another instance's view.
pub(crate) struct ViewTransfer {
    source: net::SocketAddr,
    started: tokio::time::Instant,
    received_bytes: usize,
    /// Time until the first byte of the body; `None` before it.
    first_byte: Option<time::Duration>,
}

impl ViewTransfer {
    /// Starts a transfer from an instance.
    pub(crate) fn start(source: net::SocketAddr) -> Self {
        Self {
            source,
            started: tokio::time::Instant::now(),
            received_bytes: 0,
            first_byte: None,
        }
    }

    /// Records received bytes of the body.
    pub(crate) fn record(&mut self, bytes: usize) {
        let elapsed = self.elapsed();
        self.first_byte.get_or_insert(elapsed);
        self.received_bytes += bytes;
    }

    /// Returns the number of bytes of the body that were received.
    pub(crate) const fn received_bytes(&self) -> usize {
        self.received_bytes
    }

    /// Returns the time since the start of the transfer.
    pub(crate) fn elapsed(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// Returns the event that describes the transfer after it has ended.
    pub(crate) fn event(&self, outcome: &'static str) -> decision_event::DecisionEvent<'static> {
        decision_event::DecisionEvent::ViewTransferred {
            from: self.source.ip(),
            outcome,
            received_bytes: self.received_bytes,
            first_byte_ms: self.first_byte.map(crate::gateway::millis),
            took_ms: crate::gateway::millis(self.elapsed()),
        }
    }
}
