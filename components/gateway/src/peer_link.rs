//! Exchanges news and views with the other instances.

use std::{io, net, sync, time};

use crate::{core_port, decision_event, decision_log, peer_message};

/// Time between news when nothing happens.
const NEWS_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Time in which changes are gathered into one datagram.
const GATHER_TIME: time::Duration = time::Duration::from_millis(2);

/// Time between looks at the requests that wait here while news come in.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(3);

/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 8 * 1024;

/// Exchanges news with the other instances by datagrams.
pub struct PeerLink {
    port: sync::Arc<core_port::CorePort>,
    log: sync::Arc<decision_log::DecisionLog>,
    socket: tokio::net::UdpSocket,
    peer_port: u16,
}

impl PeerLink {
    /// Opens the link at an address; the other instances use the same port.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be bound.
    pub async fn open(
        port: sync::Arc<core_port::CorePort>,
        log: sync::Arc<decision_log::DecisionLog>,
        address: net::SocketAddrV4,
    ) -> std::io::Result<Self> {
        Ok(Self {
            port,
            log,
            socket: tokio::net::UdpSocket::bind(address).await?,
            peer_port: address.port(),
        })
    }

    /// Sends what is to be told now.
    pub async fn send_news(&self) {
        let (news, targets) = self
            .port
            .decide(|core, now| (core.due_update(now), core.update_targets(now)));
        let bytes = peer_message::encode(&news);
        for target in targets {
            // A datagram that isn't sent is replaced by the next one.
            let _unsent = self.socket.send_to(&bytes, (target, self.peer_port)).await;
        }
    }

    /// Sends news as long as the process lives.
    pub async fn run_sender(&self) {
        let mut alive = (0, 0);
        loop {
            self.send_news().await;
            alive = self.note_instances(alive);
            let changed = self.port.usage_changed.notified();
            if tokio::time::timeout(NEWS_INTERVAL, changed).await.is_ok() {
                tokio::time::sleep(GATHER_TIME).await;
            }
            self.port.decide_and_grant(|_, _| ());
        }
    }

    /// Takes in news as long as the process lives.
    ///
    /// Requests that wait here are looked at once for all news that came within a few milliseconds.
    pub async fn run_receiver(&self) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            self.take_datagram(&buffer, received);
            while let Ok(more) = self.socket.try_recv_from(&mut buffer) {
                self.take_datagram(&buffer, Ok(more));
            }
            if self.port.decide(|core, _| core.has_waiting()) {
                self.port.decide_and_grant(|_, _| ());
                tokio::time::sleep(LOOK_PAUSE).await;
            }
        }
    }

    fn take_datagram(&self, buffer: &[u8], received: io::Result<(usize, net::SocketAddr)>) {
        let Ok((length, _)) = received else {
            // An earlier datagram was refused by its target.
            return;
        };
        let Some(Ok(news)) = buffer.get(..length).map(peer_message::decode) else {
            return;
        };
        let (behind, before, after) = self.port.decide(|core, now| {
            let before = core.tracker().fingerprint();
            let behind = core.apply_update(now, news);
            (behind, before, core.tracker().fingerprint())
        });
        if behind {
            self.port.view_behind.notify_one();
        }
        if before != after {
            let view = self.port.decide(|core, _| core.tracker().view().clone());
            self.log
                .write(&decision_event::DecisionEvent::view_changed("news", &view));
        }
    }

    fn note_instances(&self, before: (usize, usize)) -> (usize, usize) {
        let current = self.port.decide(|core, now| {
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
