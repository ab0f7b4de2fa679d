//! One link to a peer, as the tasks share it.

use std::sync;

use prost::Message as _;
use tokio::{sync::mpsc, time};

use crate::{hub_shared, link_counts};

/// Envelopes that wait for the connection of one link at most.
const LINK_QUEUE_LENGTH: usize = 256;

/// One link to a peer, as the tasks share it.
#[derive(Clone, Debug)]
pub(crate) struct PeerLink {
    peer: ids::InstanceId,
    envelopes: mpsc::Sender<wire::proto::Envelope>,
    counts: sync::Arc<sync::Mutex<link_counts::LinkCounts>>,
    closed: tokio_util::sync::CancellationToken,
}

impl PeerLink {
    /// Makes a link and the queue that feeds its connection.
    pub(crate) fn new(
        peer: ids::InstanceId,
        closed: tokio_util::sync::CancellationToken,
    ) -> (Self, mpsc::Receiver<wire::proto::Envelope>) {
        let (envelopes, queue) = mpsc::channel(LINK_QUEUE_LENGTH);
        let counts = link_counts::LinkCounts::new(time::Instant::now());
        let link = Self {
            peer,
            envelopes,
            counts: sync::Arc::new(sync::Mutex::new(counts)),
            closed,
        };
        (link, queue)
    }

    /// Returns the instance at the far end.
    pub(crate) const fn peer(&self) -> ids::InstanceId {
        self.peer
    }

    /// Returns a token that is cancelled when the link closes.
    pub(crate) const fn closed(&self) -> &tokio_util::sync::CancellationToken {
        &self.closed
    }

    /// Closes the link; its connection ends.
    pub(crate) fn close(&self) {
        self.closed.cancel();
    }

    /// Returns whether messages may be sent.
    pub(crate) fn is_open(&self) -> bool {
        !self.closed.is_cancelled() && !self.envelopes.is_closed()
    }

    /// Locks the counts of the link.
    pub(crate) fn counts(&self) -> sync::MutexGuard<'_, link_counts::LinkCounts> {
        self.counts
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sends a message; returns whether it was queued for the connection.
    pub(crate) fn send(
        &self,
        hub: &hub_shared::HubShared,
        message: wire::PeerMessage,
        traceparent: Option<String>,
    ) -> bool {
        let Ok(permit) = self.envelopes.try_reserve() else {
            return false;
        };
        let (sequence, acknowledged) = {
            let mut counts = self.counts();
            let sequence = counts.count_sent(time::Instant::now());
            (sequence, counts.tell_received())
        };
        let envelope = self.envelope(hub, sequence, acknowledged, traceparent, Some(message));
        hub.counters.sent_messages.raise();
        hub.counters.sent_bytes.add(envelope.encoded_len() as u64);
        permit.send(envelope);
        true
    }

    /// Sends an acknowledgement alone, if one is owed.
    pub(crate) fn send_ack(&self, hub: &hub_shared::HubShared) {
        let Ok(permit) = self.envelopes.try_reserve() else {
            return;
        };
        let acknowledged = {
            let mut counts = self.counts();
            if !counts.owes_ack() {
                return;
            }
            counts.tell_received()
        };
        let envelope = self.envelope(hub, 0, acknowledged, None, None);
        hub.counters.sent_bytes.add(envelope.encoded_len() as u64);
        permit.send(envelope);
    }

    fn envelope(
        &self,
        hub: &hub_shared::HubShared,
        sequence: u64,
        acknowledged: u64,
        traceparent: Option<String>,
        message: Option<wire::PeerMessage>,
    ) -> wire::proto::Envelope {
        wire::Envelope::builder()
            .sender(hub.config.own)
            .incarnation(hub.config.incarnation)
            .receiver(self.peer)
            .sequence(sequence)
            .acknowledged(acknowledged)
            .maybe_traceparent(traceparent)
            .maybe_message(message)
            .build()
            .into()
    }
}
