//! Exchanges state updates with the other instances.

use std::{io, net, sync, time};

use crate::{decision_event, decision_log, peer_message, shared_core};

/// Interval between state updates while nothing changes.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time for which changes are collected into one datagram.
const BATCH_WINDOW: time::Duration = time::Duration::from_millis(2);

/// Minimum time between checks of the wait queue while state updates arrive.
const QUEUE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(3);

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Exchanges state updates with the other instances over UDP.
pub struct PeerLink {
    core: sync::Arc<shared_core::SharedCore>,
    log: sync::Arc<decision_log::DecisionLog>,
    socket: tokio::net::UdpSocket,
    peer_port: u16,
}

impl PeerLink {
    /// Binds the socket; all instances use the same port.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be bound.
    pub async fn open(
        core: sync::Arc<shared_core::SharedCore>,
        log: sync::Arc<decision_log::DecisionLog>,
        address: net::SocketAddrV4,
    ) -> std::io::Result<Self> {
        Ok(Self {
            core,
            log,
            socket: tokio::net::UdpSocket::bind(address).await?,
            peer_port: address.port(),
        })
    }

    /// Sends the state update that is due now.
    pub async fn send_update(&self) {
        let (update, targets) = self
            .core
            .decide(|core, now| (core.due_update(now), core.update_targets(now)));
        let bytes = peer_message::encode(&update);
        for target in targets {
            // The next state update replaces one that can't be sent.
            let _sent = self.socket.send_to(&bytes, (target, self.peer_port)).await;
        }
    }

    /// Sends state updates on changes and at intervals; runs until the process exits.
    pub async fn run_sender(&self) {
        let mut count_and_rank = (0, 0);
        loop {
            self.send_update().await;
            count_and_rank = self.log_instance_change(count_and_rank);
            let changed = self.core.state_changed.notified();
            if tokio::time::timeout(UPDATE_INTERVAL, changed).await.is_ok() {
                tokio::time::sleep(BATCH_WINDOW).await;
            }
            self.core.decide_and_poll_queue(|_, _| ());
        }
    }

    /// Receives state updates; runs until the process exits.
    ///
    /// The wait queue is checked once for all state updates that arrive within a few milliseconds.
    pub async fn run_receiver(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            self.process_datagram(&buffer, received);
            while let Ok(more) = self.socket.try_recv_from(&mut buffer) {
                self.process_datagram(&buffer, Ok(more));
            }
            if self.core.decide(|core, _| core.has_waiting()) {
                self.core.decide_and_poll_queue(|_, _| ());
                tokio::time::sleep(QUEUE_CHECK_INTERVAL).await;
            }
        }
    }

    fn process_datagram(&self, buffer: &[u8], received: io::Result<(usize, net::SocketAddr)>) {
        let Ok((length, _)) = received else {
            // The operating system reports here that the target of an earlier datagram was
            // unreachable.
            return;
        };
        let Some(Ok(update)) = buffer.get(..length).map(peer_message::decode) else {
            return;
        };
        let (behind, before, after) = self.core.decide(|core, now| {
            let before = core.tracker().fingerprint();
            let behind = core.apply_update(now, update);
            (behind, before, core.tracker().fingerprint())
        });
        if behind {
            self.core.view_behind.notify_one();
        }
        if before != after {
            let view = self.core.decide(|core, _| core.tracker().view().clone());
            self.log
                .write(&decision_event::DecisionEvent::view_changed("news", &view));
        }
    }

    fn log_instance_change(&self, before: (usize, usize)) -> (usize, usize) {
        let current = self.core.decide(|core, now| {
            let instances = core.instances();
            (instances.live_count(now), instances.rank(now))
        });
        if current != before {
            self.log
                .write(&decision_event::DecisionEvent::InstancesChanged {
                    alive: current.0,
                    rank: current.1,
                });
        }
        current
    }
}
