//! Exchanges state updates with the other instances.

use std::{io, net, sync, time};

use crate::{
    decision_event, decision_log, forwarding_term, pause_watch, peer_forwarder, peer_message,
    shared_core,
};

/// Interval between state updates while nothing changes.
const UPDATE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Interval between the datagrams of a forwarder while there is nothing to forward, by which the
/// other instances notice its failure.
const FORWARDER_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Time for which changes are collected into one datagram.
const BATCH_WINDOW: time::Duration = time::Duration::from_millis(2);

/// Time for which a forwarder collects updates into one datagram.
const FORWARDER_WINDOW: time::Duration = time::Duration::from_millis(12);

/// Minimum time between checks of the wait queue while state updates arrive.
const QUEUE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(3);

/// Datagrams that are processed before other tasks have their turn. The updates of a large fleet come in
/// bursts of fewer.
const DATAGRAMS_PER_TURN: usize = 64;

/// Maximum size of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Exchanges state updates with the other instances over UDP.
pub struct PeerLink {
    core: sync::Arc<shared_core::SharedCore>,
    log: sync::Arc<decision_log::DecisionLog>,
    socket: tokio::net::UdpSocket,
    peer_port: u16,
    forwarder: sync::Mutex<peer_forwarder::PeerForwarder>,
    /// Whether this instance forwards the updates of others.
    is_forwarding: sync::atomic::AtomicBool,
    /// What this instance has forwarded since it began to; `None` while it doesn't.
    term: sync::Mutex<Option<forwarding_term::ForwardingTerm>>,
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
            forwarder: sync::Mutex::default(),
            is_forwarding: sync::atomic::AtomicBool::new(false),
            term: sync::Mutex::default(),
        })
    }

    /// Sends the state update that is due now, with those that are to be forwarded.
    pub async fn send_update(&self) {
        let (routes, update, greetings) = self.core.decide(|core, now| {
            let routes = core.update_routes(now);
            (routes, core.due_update(now), core.due_greetings(now))
        });
        self.is_forwarding
            .store(routes.is_forwarding(), sync::atomic::Ordering::Relaxed);
        self.log_forwarding_change(&routes);
        if !routes.direct.is_empty() {
            let bytes = peer_message::encode(&update);
            self.send_to_all(&bytes, routes.direct.iter()).await;
        }
        if routes.is_forwarding() {
            let (for_members, for_forwarders) = {
                let mut forwarder = self.lock_forwarder();
                (
                    forwarder.take_for_members(),
                    forwarder.take_for_forwarders(),
                )
            };
            self.forward(&update, for_members, &routes.members).await;
            self.forward(&update, for_forwarders, &routes.forwarders)
                .await;
        }
        for greeting in greetings {
            let bytes = peer_message::encode(&greeting.update);
            self.send_to_all(&bytes, std::iter::once(&greeting.newcomer))
                .await;
        }
    }

    /// Sends the own update with batches of forwarded ones. The receivers ignore the repeated own
    /// update of further datagrams.
    async fn forward(
        &self,
        update: &relay::InstanceUpdate,
        batches: Vec<peer_forwarder::UpdateBatch>,
        receivers: &[net::Ipv4Addr],
    ) {
        for batch in batches {
            let bytes = peer_message::encode_forwarding(update, batch);
            self.send_to_all(&bytes, receivers.iter()).await;
            if let Some(term) = self.lock_term().as_mut() {
                term.record(bytes.len(), receivers.len());
            }
        }
    }

    async fn send_to_all(&self, bytes: &[u8], receivers: impl Iterator<Item = &net::Ipv4Addr>) {
        for receiver in receivers {
            // The next state update replaces one that can't be sent.
            let _sent = self
                .socket
                .send_to(bytes, (*receiver, self.peer_port))
                .await;
        }
    }

    /// Sends state updates on changes and at intervals; runs until the process exits.
    pub async fn run_sender(&self) {
        let mut watch = pause_watch::PauseWatch::new(&self.core);
        let mut count_and_rank = (0, 0);
        let mut quarantined = Vec::new();
        loop {
            watch.check(&self.core);
            self.send_update().await;
            count_and_rank = self.log_instance_change(count_and_rank);
            quarantined = self.log_quarantine_change(quarantined);
            let (interval, window) = if self.is_forwarding.load(sync::atomic::Ordering::Relaxed) {
                (FORWARDER_INTERVAL, FORWARDER_WINDOW)
            } else {
                (UPDATE_INTERVAL, BATCH_WINDOW)
            };
            let changed = self.core.state_changed.notified();
            if tokio::time::timeout(interval, changed).await.is_ok() {
                tokio::time::sleep(window).await;
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
            let mut processed = 1;
            while processed < DATAGRAMS_PER_TURN
                && let Ok(more) = self.socket.try_recv_from(&mut buffer)
            {
                self.process_datagram(&buffer, Ok(more));
                processed += 1;
            }
            if processed == DATAGRAMS_PER_TURN {
                tokio::task::yield_now().await;
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
        let Some(Ok(datagram)) = buffer.get(..length).map(peer_message::decode_datagram) else {
            return;
        };
        let (behind, before, after) = self.core.decide(|core, now| {
            let before = core.tracker().fingerprint();
            let behind = self.apply_datagram(core, now, &buffer[..length], datagram);
            if core.seeks_streams(now) {
                self.core.stream_sought.notify_one();
            }
            (behind, before, core.tracker().fingerprint())
        });
        if behind {
            self.core.view_behind.notify_one();
        }
        if before != after {
            self.log.write_list_changes("news", &self.core);
            let view = self.core.decide(|core, _| core.tracker().view().clone());
            self.log
                .write(&decision_event::DecisionEvent::view_changed("news", &view));
        }
    }

    /// Applies the state updates of a datagram and collects those that are to be forwarded; returns
    /// whether a sender's view differs and is newer.
    fn apply_datagram(
        &self,
        core: &mut relay::RelayCore,
        now: clock::Timestamp,
        bytes: &[u8],
        datagram: peer_message::PeerDatagram,
    ) -> bool {
        let forwards = self.is_forwarding.load(sync::atomic::Ordering::Relaxed);
        let own_bytes = (forwards && !datagram.forwarded.is_empty())
            .then(|| peer_message::encode(&datagram.update));
        let direct = core.apply_direct_update(now, datagram.update, datagram.forwarding);
        let mut is_behind = direct.is_behind;
        let mut to_forward = vec![(direct.scope, own_bytes.unwrap_or_else(|| bytes.to_vec()))];
        for bytes in datagram.forwarded {
            let Ok(update) = peer_message::decode(&bytes) else {
                continue;
            };
            let effect = core.apply_forwarded_update(now, update);
            is_behind |= effect.is_behind;
            to_forward.push((effect.scope, bytes));
        }
        if forwards {
            let mut forwarder = self.lock_forwarder();
            for (scope, bytes) in &to_forward {
                forwarder.push(*scope, bytes);
            }
            self.core.state_changed.notify_one();
        } else if core.has_newcomers() {
            self.core.state_changed.notify_one();
        }
        is_behind
    }

    fn lock_forwarder(&self) -> sync::MutexGuard<'_, peer_forwarder::PeerForwarder> {
        self.forwarder
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock_term(&self) -> sync::MutexGuard<'_, Option<forwarding_term::ForwardingTerm>> {
        self.term
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Logs when this instance begins or ends to forward the updates of others.
    fn log_forwarding_change(&self, routes: &relay::UpdateRoutes) {
        let now = self.core.now();
        let mut term = self.lock_term();
        if routes.is_forwarding() == term.is_some() {
            return;
        }
        let begun = routes
            .is_forwarding()
            .then(|| forwarding_term::ForwardingTerm::begin(now));
        let ended = std::mem::replace(&mut *term, begun);
        self.log
            .write(&decision_event::DecisionEvent::ForwardingChanged {
                forwards: routes.is_forwarding(),
                members: routes.members.len(),
                forwarders: routes.forwarders.len(),
                sent_bytes: ended.as_ref().map_or(0, |term| term.sent_bytes()),
                lasted_ms: ended
                    .map_or(0, |term| crate::gateway::millis(now.since(term.begun_at()))),
            });
    }

    /// Logs the quarantined segments if they aren't those `before`, and returns them.
    fn log_quarantine_change(&self, before: Vec<u64>) -> Vec<u64> {
        let quarantined = self
            .core
            .decide(|core, now| core.quarantine().quarantined(now));
        let segments: Vec<u64> = quarantined.iter().map(|(segment, _)| *segment).collect();
        if segments != before {
            self.log
                .write(&decision_event::DecisionEvent::quarantine_changed(
                    &quarantined,
                ));
        }
        segments
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
