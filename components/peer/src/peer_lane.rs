//! The task that sends to one peer.

use std::{net, sync};

use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{hub_shared, lane_input, link_dialer, peer_link};

/// Time after a failed attempt to connect before the next, at first.
const SHORTEST_DIAL_WAIT: time::Duration = time::Duration::from_millis(100);

/// Time after a failed attempt to connect before the next, at most.
const LONGEST_DIAL_WAIT: time::Duration = time::Duration::from_secs(2);

/// Time between two looks at whether a flush is complete.
const FLUSH_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Sends to one peer over the link in use, and replaces the link when it goes silent.
pub(crate) struct PeerLane {
    hub: sync::Arc<hub_shared::HubShared>,
    peer: ids::InstanceId,
    inputs: mpsc::Receiver<lane_input::LaneInput>,
    link: Option<peer_link::PeerLink>,
    dial_after: time::Instant,
    dial_wait: time::Duration,
    flushes: Vec<oneshot::Sender<()>>,
}

impl PeerLane {
    /// Makes the lane of a peer without a link.
    pub(crate) fn new(
        hub: sync::Arc<hub_shared::HubShared>,
        peer: ids::InstanceId,
        inputs: mpsc::Receiver<lane_input::LaneInput>,
    ) -> Self {
        Self {
            hub,
            peer,
            inputs,
            link: None,
            dial_after: time::Instant::now(),
            dial_wait: SHORTEST_DIAL_WAIT,
            flushes: Vec::new(),
        }
    }

    /// Runs until the peer is out of use or the hub stops.
    pub(crate) async fn run(mut self) {
        let stopped = self.hub.stopped.clone();
        loop {
            let check_at = self.check_at();
            tokio::select! {
                () = stopped.cancelled() => break,
                input = self.inputs.recv() => match input {
                    Some(input) => self.take(input).await,
                    None => break,
                },
                () = time::sleep_until(check_at) => {
                    self.replace_silent_link().await;
                    if self.link.is_none() && self.hub.remove_lane(self.peer, &self.inputs) {
                        break;
                    }
                }
            }
            self.finish_flushes();
        }
        if let Some(link) = self.link {
            link.close();
        }
    }

    /// Returns when the lane must look at its link without any input.
    fn check_at(&self) -> time::Instant {
        let now = time::Instant::now();
        if !self.flushes.is_empty() {
            return now + FLUSH_CHECK_INTERVAL;
        }
        let idle_at = now + self.hub.config.idle_timeout;
        let silent_at = self
            .link
            .as_ref()
            .and_then(|link| link.counts().silent_at(self.hub.config.silence_timeout));
        silent_at.map_or(idle_at, |silent_at| silent_at.min(idle_at))
    }

    async fn take(&mut self, input: lane_input::LaneInput) {
        match input {
            lane_input::LaneInput::Send(message, traceparent) => {
                self.replace_silent_link().await;
                self.send(message, traceparent).await;
            }
            lane_input::LaneInput::Adopt(link) => self.link = Some(link),
            lane_input::LaneInput::Flush(done) => self.flushes.push(done),
        }
    }

    async fn send(&mut self, message: wire::PeerMessage, traceparent: Option<String>) {
        if self.link.is_none() {
            let Some(address) = self.hub.address(self.peer) else {
                self.hub.counters.dropped_unknown.raise();
                return;
            };
            self.dial(address).await;
        }
        let Some(link) = &self.link else {
            self.hub.counters.dropped_unreachable.raise();
            return;
        };
        if !link.send(&self.hub, message, traceparent) {
            self.hub.counters.dropped_full.raise();
        }
    }

    /// Forgets a closed link, and opens a fresh one in place of a link that went silent.
    async fn replace_silent_link(&mut self) {
        let Some(link) = &self.link else {
            return;
        };
        if !link.is_open() {
            self.link = None;
            return;
        }
        let (silent_at, alive) = {
            let counts = link.counts();
            let silent_at = counts.silent_at(self.hub.config.silence_timeout);
            (silent_at, counts.was_acknowledged())
        };
        if alive {
            self.dial_wait = SHORTEST_DIAL_WAIT;
        }
        if silent_at.is_none_or(|silent_at| time::Instant::now() < silent_at) {
            return;
        }
        tracing::info!(peer = %self.peer, "messages stay unacknowledged; replacing the connection");
        link.close();
        self.link = None;
        self.hub.counters.streams_replaced.raise();
        if let Some(address) = self.hub.address(self.peer) {
            self.dial(address).await;
        }
        if !alive {
            self.delay_dial();
        }
    }

    /// Opens a link unless the last attempt was too short a time ago.
    async fn dial(&mut self, address: net::SocketAddr) {
        if time::Instant::now() < self.dial_after {
            return;
        }
        match link_dialer::open_link(&self.hub, self.peer, address).await {
            Ok(link) => {
                self.hub.counters.streams_opened.raise();
                self.link = Some(link);
            }
            Err(error) => {
                tracing::debug!(peer = %self.peer, %address, %error, "cannot open a connection");
                self.delay_dial();
            }
        }
    }

    fn delay_dial(&mut self) {
        self.dial_after = time::Instant::now() + self.dial_wait;
        self.dial_wait = (self.dial_wait * 2).min(LONGEST_DIAL_WAIT);
    }

    fn finish_flushes(&mut self) {
        let settled = match &self.link {
            Some(link) if link.is_open() => link.counts().is_settled(),
            _ => true,
        };
        if settled {
            for done in self.flushes.drain(..) {
                // The one who asked may have stopped waiting.
                let _ = done.send(());
            }
        }
    }
}
