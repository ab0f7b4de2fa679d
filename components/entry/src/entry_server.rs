//! The listener for callers.

use std::{io, net, sync, time};

use hyper::server::conn::http1;
use hyper_util::{rt, server::graceful, service};

use crate::{entry_context, entry_router};

/// Smallest read buffer that the HTTP library takes, in bytes.
const BUFFER_FLOOR_BYTES: usize = 8 * 1024;

/// Wait after a failed accept, which is mostly a lack of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Connections that may be open for each request that may be in flight.
const CONNECTIONS_PER_REQUEST: usize = 2;

/// Accepts callers.
pub struct EntryServer {
    listener: tokio::net::TcpListener,
    context: sync::Arc<entry_context::EntryContext>,
}

impl EntryServer {
    /// Makes a server on a bound listener.
    #[must_use]
    pub const fn new(
        listener: tokio::net::TcpListener,
        context: sync::Arc<entry_context::EntryContext>,
    ) -> Self {
        Self { listener, context }
    }

    /// Returns the address the server listens on.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the socket has no address.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves callers until `stop` completes, then lets open answers finish.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let connections = graceful::GracefulShutdown::new();
        let limits = &self.context.limits;
        let slots = limits
            .in_flight_requests
            .saturating_mul(CONNECTIONS_PER_REQUEST);
        let slots = slots.min(tokio::sync::Semaphore::MAX_PERMITS);
        let slots = sync::Arc::new(tokio::sync::Semaphore::new(slots));
        let router = entry_router::router(sync::Arc::clone(&self.context));
        let builder = connection_builder(limits);
        let mut stop = std::pin::pin!(stop);
        loop {
            let accepted = tokio::select! {
                accepted = self.accept(&slots) => accepted,
                () = &mut stop => break,
            };
            let Some((stream, slot)) = accepted else {
                continue;
            };
            let service = service::TowerToHyperService::new(router.clone());
            let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
            let connection = connections.watch(connection);
            tokio::spawn(async move {
                if let Err(error) = connection.await {
                    tracing::debug!(%error, "caller's connection ended");
                }
                drop(slot);
            });
        }
        drop(self.listener);
        connections.shutdown().await;
    }

    async fn accept(
        &self,
        slots: &sync::Arc<tokio::sync::Semaphore>,
    ) -> Option<(tokio::net::TcpStream, tokio::sync::OwnedSemaphorePermit)> {
        let slot = sync::Arc::clone(slots).acquire_owned().await.ok()?;
        match self.listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    tracing::debug!(%error, "caller's connection can't be set up");
                }
                Some((stream, slot))
            }
            Err(error) => {
                tracing::warn!(%error, "can't accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                None
            }
        }
    }
}

fn connection_builder(limits: &settings::RequestLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(rt::TokioTimer::new())
        .header_read_timeout(time::Duration::from_millis(limits.header_timeout_ms))
        .max_headers(limits.header_count)
        .max_buf_size(limits.header_bytes.max(BUFFER_FLOOR_BYTES));
    builder
}
