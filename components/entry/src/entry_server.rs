//! The listener for callers.

use std::{convert, io, net, sync, time};

use hyper::server::conn::http1;
use hyper_util::{rt, server::graceful, service};
use tower::ServiceExt as _;

use crate::{entry_context, entry_router};

/// Smallest read buffer that the HTTP library takes, in bytes.
const BUFFER_FLOOR_BYTES: usize = 8 * 1024;

/// Accepts callers.
pub struct EntryServer {
    listener: intake::ConnectionListener,
    context: sync::Arc<entry_context::EntryContext>,
}

impl EntryServer {
    /// Makes a server on a bound listener.
    #[must_use]
    pub const fn new(
        listener: intake::ConnectionListener,
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
        let router = entry_router::router(sync::Arc::clone(&self.context));
        let builder = connection_builder(limits);
        let mut stop = std::pin::pin!(stop);
        loop {
            let (stream, _) = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = &mut stop => break,
            };
            if let Err(error) = stream.inner().set_nodelay(true) {
                tracing::debug!(%error, "caller's connection can't be set up");
            }
            let slot = stream.slot().clone();
            let router = router.clone();
            let service =
                tower::service_fn(move |request| answer(router.clone(), request, slot.clone()));
            let service = service::TowerToHyperService::new(service);
            let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
            let connection = connections.watch(connection);
            tokio::spawn(async move {
                if let Err(error) = connection.await {
                    tracing::debug!(%error, "caller's connection ended");
                }
            });
        }
        drop(self.listener);
        connections.shutdown().await;
    }
}

/// Answers a request on a connection that has a place.
async fn answer(
    router: axum::Router,
    mut request: http::Request<hyper::body::Incoming>,
    slot: intake::ConnectionSlot,
) -> Result<http::Response<intake::AnsweringBody<axum::body::Body>>, convert::Infallible> {
    request.extensions_mut().insert(slot.clone());
    let response = router.oneshot(request).await?;
    Ok(response.map(|body| intake::AnsweringBody::new(body, slot)))
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
