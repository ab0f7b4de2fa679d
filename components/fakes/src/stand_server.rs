//! An HTTP server on loopback that can die or go silent.

use std::{io, net, sync, sync::atomic};

use hyper::server::conn::http1;
use hyper_util::{rt, service};

use crate::silent_io;

/// An HTTP server on loopback that can die or go silent; dropping it kills it.
pub struct StandServer {
    address: net::SocketAddr,
    silenced: sync::Arc<atomic::AtomicU64>,
    task: tokio::task::AbortHandle,
}

impl StandServer {
    /// Binds a free port of loopback.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn bind() -> io::Result<tokio::net::TcpListener> {
        tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await
    }

    /// Serves `router` on a bound listener.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the listener has no address.
    pub fn serve(listener: tokio::net::TcpListener, router: axum::Router) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let silenced = sync::Arc::new(atomic::AtomicU64::new(0));
        let task = tokio::spawn(accept_all(listener, router, sync::Arc::clone(&silenced)));
        Ok(Self {
            address,
            silenced,
            task: task.abort_handle(),
        })
    }

    /// Returns the address of the server.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Closes the listener and all connections at once.
    pub fn kill(&self) {
        self.task.abort();
    }

    /// Makes all open connections silent for good; new ones work.
    pub fn silence(&self) {
        self.silenced.fetch_add(1, atomic::Ordering::AcqRel);
    }
}

impl Drop for StandServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all(
    listener: tokio::net::TcpListener,
    router: axum::Router,
    silenced: sync::Arc<atomic::AtomicU64>,
) {
    // Dropping the set closes the connections.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    continue;
                };
                // Without it small events wait for acknowledgements; a failure is harmless.
                let _ = stream.set_nodelay(true);
                let io = silent_io::SilentIo {
                    stream,
                    opened_at: silenced.load(atomic::Ordering::Acquire),
                    silenced: sync::Arc::clone(&silenced),
                };
                let service = service::TowerToHyperService::new(router.clone());
                connections.spawn(http1::Builder::new().serve_connection(rt::TokioIo::new(io), service));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}
