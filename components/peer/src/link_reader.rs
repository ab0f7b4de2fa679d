//! The task that reads from one link.

use std::sync;

use prost::Message as _;
use tokio::time;

use crate::{hub_shared, peer_link};

/// Reads from one link, acknowledges what it receives and ends the link when it is idle.
pub(crate) struct LinkReader {
    hub: sync::Arc<hub_shared::HubShared>,
    link: peer_link::PeerLink,
    /// When the acknowledgement that is owed must be sent.
    ack_at: Option<time::Instant>,
}

impl LinkReader {
    /// Makes the reader of a link.
    pub(crate) const fn new(
        hub: sync::Arc<hub_shared::HubShared>,
        link: peer_link::PeerLink,
    ) -> Self {
        Self {
            hub,
            link,
            ack_at: None,
        }
    }

    /// Reads until either side ends the link.
    pub(crate) async fn run(mut self, mut stream: tonic::Streaming<wire::proto::Envelope>) {
        let closed = self.link.closed().clone();
        loop {
            let wake_at = self.wake_at();
            tokio::select! {
                () = closed.cancelled() => break,
                received = stream.message() => {
                    if !self.take_received(received) {
                        break;
                    }
                }
                () = time::sleep_until(wake_at) => {
                    self.acknowledge();
                    if self.is_idle() {
                        break;
                    }
                }
            }
        }
        self.link.close();
    }

    fn wake_at(&self) -> time::Instant {
        let idle_at = self.link.counts().idle_at(self.hub.config.idle_timeout);
        self.ack_at.map_or(idle_at, |ack_at| ack_at.min(idle_at))
    }

    fn is_idle(&self) -> bool {
        let idle_at = self.link.counts().idle_at(self.hub.config.idle_timeout);
        time::Instant::now() >= idle_at
    }

    fn acknowledge(&mut self) {
        self.link.send_ack(&self.hub);
        self.ack_at = None;
    }

    /// Takes what the connection gave; returns whether the link may go on.
    fn take_received(
        &mut self,
        received: Result<Option<wire::proto::Envelope>, tonic::Status>,
    ) -> bool {
        match received {
            Ok(Some(envelope)) => self.take(envelope),
            Ok(None) => false,
            Err(error) => {
                tracing::debug!(peer = %self.link.peer(), %error, "the connection ended");
                false
            }
        }
    }

    /// Takes one envelope; returns whether the link may go on.
    fn take(&mut self, envelope: wire::proto::Envelope) -> bool {
        let bytes = envelope.encoded_len();
        self.hub.counters.received_bytes.add(bytes as u64);
        let envelope = match wire::Envelope::try_from(envelope) {
            Ok(envelope) if self.is_expected(&envelope) => envelope,
            Ok(_) => {
                self.hub.counters.dropped_malformed.raise();
                return false;
            }
            Err(error) => {
                tracing::warn!(peer = %self.link.peer(), %error, "dropping a malformed message");
                self.hub.counters.dropped_malformed.raise();
                return true;
            }
        };
        let now = time::Instant::now();
        self.link
            .counts()
            .take(now, envelope.sequence, envelope.acknowledged);
        if envelope.sequence > 0 {
            let ack_at = now + self.hub.config.ack_delay;
            self.ack_at.get_or_insert(ack_at);
        }
        if let Some(message) = envelope.message {
            let _span = received_span(envelope.sender, envelope.traceparent.as_deref());
            self.hub.deliver(envelope.sender, message);
        }
        true
    }

    /// Returns whether the far end is who it was and means this instance.
    fn is_expected(&self, envelope: &wire::Envelope) -> bool {
        envelope.sender == self.link.peer() && envelope.receiver == self.hub.config.own
    }
}

/// Makes the span of a message that belongs to a trace, to show the hop on this instance.
fn received_span(from: ids::InstanceId, traceparent: Option<&str>) -> Option<tracing::Span> {
    let parent = border::TraceParent::parse(traceparent?)?;
    let span = tracing::info_span!("peer_message", %from);
    // The state machines pass no context on.
    let _ = logs::join_trace(&span, parent);
    Some(span)
}
