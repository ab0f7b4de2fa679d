//! What the tasks of a hub share.

use std::{collections, net, sync};

use tokio::{runtime, sync::mpsc};

use crate::{hub_counters, lane_input, peer_config, peer_lane, peer_link};

/// Queue of the lane of one peer.
type LaneQueue = mpsc::Sender<lane_input::LaneInput>;

/// What the tasks of a hub share.
#[derive(Debug)]
pub(crate) struct HubShared {
    pub(crate) config: peer_config::PeerConfig,
    pub(crate) counters: hub_counters::HubCounters,
    pub(crate) stopped: tokio_util::sync::CancellationToken,
    inbound: mpsc::Sender<(ids::InstanceId, wire::PeerMessage)>,
    runtime: runtime::Handle,
    addresses: sync::Mutex<collections::BTreeMap<ids::InstanceId, net::SocketAddr>>,
    lanes: sync::Mutex<collections::BTreeMap<ids::InstanceId, LaneQueue>>,
}

impl HubShared {
    /// Makes the shared part of a hub without peers.
    pub(crate) fn new(
        config: peer_config::PeerConfig,
        inbound: mpsc::Sender<(ids::InstanceId, wire::PeerMessage)>,
        runtime: runtime::Handle,
    ) -> Self {
        Self {
            config,
            counters: hub_counters::HubCounters::default(),
            stopped: tokio_util::sync::CancellationToken::new(),
            inbound,
            runtime,
            addresses: sync::Mutex::default(),
            lanes: sync::Mutex::default(),
        }
    }

    /// Replaces the addresses of all peers.
    pub(crate) fn set_addresses(
        &self,
        addresses: collections::BTreeMap<ids::InstanceId, net::SocketAddr>,
    ) {
        *lock(&self.addresses) = addresses;
    }

    /// Returns the address of a peer.
    pub(crate) fn address(&self, peer: ids::InstanceId) -> Option<net::SocketAddr> {
        lock(&self.addresses).get(&peer).copied()
    }

    /// Hands a received message on, or drops it when this instance can't keep up.
    pub(crate) fn deliver(&self, from: ids::InstanceId, message: wire::PeerMessage) {
        self.counters.received_messages.raise();
        if self.inbound.try_send((from, message)).is_err() {
            self.counters.dropped_inbound.raise();
        }
    }

    /// Queues a message for a peer, or drops it when the queue is full.
    pub(crate) fn queue_message(
        self: &sync::Arc<Self>,
        peer: ids::InstanceId,
        message: wire::PeerMessage,
        traceparent: Option<String>,
    ) {
        let input = lane_input::LaneInput::Send(message, traceparent);
        if !self.queue(peer, input) {
            self.counters.dropped_full.raise();
        }
    }

    /// Gives the lane of a peer a link that the peer has opened.
    pub(crate) fn queue_link(self: &sync::Arc<Self>, link: peer_link::PeerLink) {
        self.queue(link.peer(), lane_input::LaneInput::Adopt(link));
    }

    /// Returns the queues of all lanes.
    pub(crate) fn lane_queues(&self) -> Vec<LaneQueue> {
        lock(&self.lanes).values().cloned().collect()
    }

    /// Forgets the lane of a peer unless something waits in its queue.
    pub(crate) fn remove_lane(
        &self,
        peer: ids::InstanceId,
        inputs: &mpsc::Receiver<lane_input::LaneInput>,
    ) -> bool {
        let mut lanes = lock(&self.lanes);
        let empty = inputs.is_empty();
        if empty {
            lanes.remove(&peer);
        }
        empty
    }

    /// Queues an input for the lane of a peer, which is started if there is none.
    ///
    /// The lock is held while the input is queued, so that a lane can't end in between.
    fn queue(self: &sync::Arc<Self>, peer: ids::InstanceId, input: lane_input::LaneInput) -> bool {
        let mut lanes = lock(&self.lanes);
        let queue = lanes.entry(peer).or_insert_with(|| self.start_lane(peer));
        queue.try_send(input).is_ok()
    }

    fn start_lane(self: &sync::Arc<Self>, peer: ids::InstanceId) -> LaneQueue {
        let (queue, inputs) = mpsc::channel(self.config.queue_length);
        let lane = peer_lane::PeerLane::new(sync::Arc::clone(self), peer, inputs);
        self.runtime.spawn(lane.run());
        queue
    }
}

fn lock<Value>(mutex: &sync::Mutex<Value>) -> sync::MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
