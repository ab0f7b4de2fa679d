//! Sends messages to other instances and receives theirs.

use std::{io, net, sync};

use tokio::{
    runtime,
    sync::{mpsc, oneshot},
    time,
};
use tonic::transport;

use crate::{
    hub_shared, lane_input, link_dialer, link_service, peer_config, peer_connection, peer_error,
    peer_stats,
};

/// Sends messages to other instances and receives theirs; it ends when it is dropped.
#[derive(Debug)]
pub struct PeerHub {
    shared: sync::Arc<hub_shared::HubShared>,
    address: net::SocketAddr,
}

impl PeerHub {
    /// Listens for peers on the current tokio runtime and hands what they send to `inbound`.
    ///
    /// # Errors
    ///
    /// Returns [`peer_error::PeerError`] when the address can't be listened on, or outside a
    /// tokio runtime.
    pub fn start(
        config: peer_config::PeerConfig,
        inbound: mpsc::Sender<(ids::InstanceId, wire::PeerMessage)>,
    ) -> Result<Self, peer_error::PeerError> {
        let runtime = runtime::Handle::try_current()?;
        let listen = config.listen;
        let listen_error = |source| peer_error::PeerError::Listen {
            address: listen,
            source,
        };
        let listener = listen_on(listen).map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let (intake, class) = (
            sync::Arc::clone(&config.intake),
            intake::ConnectionClass::View,
        );
        let listener = intake::ConnectionListener::new(listener, intake, class);
        let shared = hub_shared::HubShared::new(config, inbound, runtime.clone());
        let shared = sync::Arc::new(shared);
        runtime.spawn(serve(sync::Arc::clone(&shared), listener));
        Ok(Self { shared, address })
    }

    /// Returns the address this instance listens on for peers.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Takes the addresses of all peers that aren't dead from a membership.
    pub fn set_peers(&self, view: &member::MemberView) {
        let addresses = view
            .members
            .values()
            .filter(|member| member.state != member::MemberState::Dead)
            .map(|member| (member.instance.id, member.instance.address))
            .collect();
        self.shared.set_addresses(addresses);
    }

    /// Queues a message for a peer; it is dropped when the peer can't be reached or its queue is
    /// full.
    pub fn send(&self, to: ids::InstanceId, message: wire::PeerMessage) {
        self.shared.queue_message(to, message, None);
    }

    /// Queues a message that carries the context of a span, as in the header field `traceparent`.
    pub fn send_traced(
        &self,
        to: ids::InstanceId,
        message: wire::PeerMessage,
        traceparent: Option<String>,
    ) {
        self.shared.queue_message(to, message, traceparent);
    }

    /// Waits until peers have acknowledged what was sent before, at most for `limit`.
    ///
    /// Returns whether everything was acknowledged or given up within the limit.
    pub async fn flush(&self, limit: time::Duration) -> bool {
        time::timeout(limit, self.flush_lanes()).await.is_ok()
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn stats(&self) -> peer_stats::PeerStats {
        self.shared.counters.stats()
    }

    async fn flush_lanes(&self) {
        let mut waits = Vec::new();
        for queue in self.shared.lane_queues() {
            let (done, wait) = oneshot::channel();
            if queue.send(lane_input::LaneInput::Flush(done)).await.is_ok() {
                waits.push(wait);
            }
        }
        for wait in waits {
            // A lane that ended has nothing left to send.
            let _ = wait.await;
        }
    }
}

impl Drop for PeerHub {
    fn drop(&mut self) {
        self.shared.stopped.cancel();
    }
}

fn listen_on(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let listener = net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    tokio::net::TcpListener::from_std(listener)
}

async fn serve(shared: sync::Arc<hub_shared::HubShared>, listener: intake::ConnectionListener) {
    let stopped = shared.stopped.clone();
    let keepalive = shared.config.keepalive_interval;
    let service = link_service::LinkService::new(shared);
    let service = wire::proto::peer_link_server::PeerLinkServer::new(service)
        .max_decoding_message_size(link_dialer::MESSAGE_LIMIT_BYTES);
    let served = transport::Server::builder()
        .http2_keepalive_interval(Some(keepalive))
        .http2_keepalive_timeout(Some(keepalive))
        .add_service(service)
        .serve_with_incoming_shutdown(peer_connection::incoming(listener), stopped.cancelled())
        .await;
    if let Err(error) = served {
        tracing::error!(%error, "no longer accepting connections of other instances");
    }
}
