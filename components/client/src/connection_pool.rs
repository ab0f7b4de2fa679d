//! Connections to servers by address.

use std::{collections, io, net, ops, sync, time};

use hyper::client::conn::http1;

use crate::{
    pool_settings, pooled_answer, pooled_connection, server_dialer, trace_scope, watched_stream,
};

/// Largest head of an answer, and largest part of a body that is read at once, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Statuses of final answers (RFC 9110, section 15).
const FINAL_STATUSES: ops::RangeInclusive<u16> = 200..=599;

/// A body that is in memory before it is sent.
pub type WholeBody = http_body_util::Full<bytes::Bytes>;

/// A connection without a request under way.
struct IdleConnection {
    connection: pooled_connection::PooledConnection,
    since: time::Instant,
}

/// The unused connections to one server.
#[derive(Default)]
struct ServerConnections {
    /// Counts how often the server's connections were discarded.
    epoch: u64,
    idle: Vec<IdleConnection>,
}

/// Connections to servers, by address, reused when free.
pub struct ConnectionPool {
    settings: pool_settings::PoolSettings,
    clock: sync::Arc<dyn clock::ClockSource>,
    dialer: sync::Arc<dyn server_dialer::ServerDialer>,
    servers: sync::Mutex<collections::BTreeMap<net::SocketAddr, ServerConnections>>,
}

impl ConnectionPool {
    /// Makes a pool without connections.
    #[must_use]
    pub fn new(
        settings: pool_settings::PoolSettings,
        clock: sync::Arc<dyn clock::ClockSource>,
    ) -> sync::Arc<Self> {
        Self::with_dialer(
            settings,
            clock,
            sync::Arc::new(server_dialer::TcpDialer::default()),
        )
    }

    /// Makes a pool without connections that opens them through `dialer`.
    #[must_use]
    pub fn with_dialer(
        settings: pool_settings::PoolSettings,
        clock: sync::Arc<dyn clock::ClockSource>,
        dialer: sync::Arc<dyn server_dialer::ServerDialer>,
    ) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            settings,
            clock,
            dialer,
            servers: sync::Mutex::default(),
        })
    }

    /// Returns the largest answer that is read into memory, in bytes.
    #[must_use]
    pub const fn answer_limit_bytes(&self) -> usize {
        self.settings.answer_limit_bytes
    }

    /// Sends a request once, unless its first byte would leave later than `start_by`.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` when no byte left, `Malformed` for a status that no answer has, and `Lost` for
    /// every other failure.
    pub async fn send(
        self: &sync::Arc<Self>,
        server: net::SocketAddr,
        request: http::Request<WholeBody>,
        start_by: clock::Timestamp,
    ) -> Result<pooled_answer::PooledAnswer, border::BorderError> {
        let (connection, epoch) = self.connection(server).await?;
        self.send_on((connection, epoch), server, request, start_by)
            .await
    }

    /// Sends a request once over a connection that nothing else has used.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` when no byte left, `Malformed` for a status that no answer has, and `Lost` for
    /// every other failure.
    pub async fn send_fresh(
        self: &sync::Arc<Self>,
        server: net::SocketAddr,
        request: http::Request<WholeBody>,
    ) -> Result<pooled_answer::PooledAnswer, border::BorderError> {
        let epoch = self.epoch(server);
        let connection = self.connect(server).await?;
        self.send_on((connection, epoch), server, request, clock::Timestamp::MAX)
            .await
    }

    /// Sends a request once over a connection of its own, which closes after the answer.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` when no byte left, `Malformed` for a status that no answer has, and `Lost` for
    /// every other failure.
    pub async fn send_alone(
        self: &sync::Arc<Self>,
        server: net::SocketAddr,
        mut request: http::Request<WholeBody>,
    ) -> Result<pooled_answer::PooledAnswer, border::BorderError> {
        let close = http::HeaderValue::from_static("close");
        request
            .headers_mut()
            .insert(http::header::CONNECTION, close);
        let mut answer = self.send_fresh(server, request).await?;
        answer.close_after();
        Ok(answer)
    }

    async fn send_on(
        self: &sync::Arc<Self>,
        (mut connection, epoch): (pooled_connection::PooledConnection, u64),
        server: net::SocketAddr,
        mut request: http::Request<WholeBody>,
        start_by: clock::Timestamp,
    ) -> Result<pooled_answer::PooledAnswer, border::BorderError> {
        set_connection_headers(&mut request, server);
        if self.clock.now() > start_by {
            return Err(not_sent("the time to start has passed"));
        }
        let answer = connection.sender.try_send_request(request).await;
        match answer {
            Ok(response) => {
                check_status(response.status())?;
                Ok(pooled_answer::PooledAnswer::new(
                    response,
                    connection,
                    pooled_answer::PoolReturn {
                        pool: sync::Arc::clone(self),
                        server,
                        epoch,
                    },
                ))
            }
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let detail = error.into_error().to_string();
                Err(if is_unsent {
                    not_sent(detail)
                } else {
                    lost(detail)
                })
            }
        }
    }

    /// Returns whether a server refuses a new connection, so that no process listens there any more. A
    /// server from which no answer arrives may be cut off.
    pub async fn is_refused(&self, server: net::SocketAddr) -> bool {
        let opening = self.dialer.dial(server);
        let result = tokio::time::timeout(self.settings.connect_timeout, opening).await;
        matches!(result, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Drops the connections to a server, also those that are in use once they come back.
    pub fn discard(&self, server: net::SocketAddr) {
        let mut servers = self.lock();
        let connections = servers.entry(server).or_default();
        connections.epoch += 1;
        connections.idle.clear();
    }

    /// Closes connections that were unused for too long and forgets servers without any.
    pub fn sweep(&self) {
        let limit = self.settings.idle_timeout;
        self.lock().retain(|_, connections| {
            connections
                .idle
                .retain(|idle| idle.since.elapsed() < limit && !idle.connection.sender.is_closed());
            !connections.idle.is_empty() || connections.epoch > 0
        });
    }

    /// Takes back a connection whose answer was read to its end.
    pub(crate) fn give_back(
        &self,
        server: net::SocketAddr,
        epoch: u64,
        connection: pooled_connection::PooledConnection,
    ) {
        let mut servers = self.lock();
        let connections = servers.entry(server).or_default();
        let is_current = connections.epoch == epoch;
        let is_open = !connection.sender.is_closed();
        if is_current && is_open && connections.idle.len() < self.settings.idle_limit {
            connections.idle.push(IdleConnection {
                connection,
                since: time::Instant::now(),
            });
        }
    }

    async fn connection(
        &self,
        server: net::SocketAddr,
    ) -> Result<(pooled_connection::PooledConnection, u64), border::BorderError> {
        while let Some((mut connection, epoch)) = self.take_idle(server) {
            if connection.sender.ready().await.is_ok() {
                return Ok((connection, epoch));
            }
        }
        let epoch = self.epoch(server);
        let connection = self.connect(server).await?;
        Ok((connection, epoch))
    }

    fn epoch(&self, server: net::SocketAddr) -> u64 {
        self.lock().entry(server).or_default().epoch
    }

    fn take_idle(
        &self,
        server: net::SocketAddr,
    ) -> Option<(pooled_connection::PooledConnection, u64)> {
        let mut servers = self.lock();
        let connections = servers.get_mut(&server)?;
        let limit = self.settings.idle_timeout;
        connections
            .idle
            .retain(|idle| idle.since.elapsed() < limit && !idle.connection.sender.is_closed());
        let idle = connections.idle.pop()?;
        Some((idle.connection, connections.epoch))
    }

    async fn connect(
        &self,
        server: net::SocketAddr,
    ) -> Result<pooled_connection::PooledConnection, border::BorderError> {
        let opening = self.dialer.dial(server);
        let stream = tokio::time::timeout(self.settings.connect_timeout, opening)
            .await
            .map_err(|_| not_sent("the connection didn't open in time"))?
            .map_err(|error| not_sent(error.to_string()))?;
        let io = hyper_util::rt::TokioIo::new(watched_stream::WatchedStream::new(stream));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(io)
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%server, %error, "connection ended");
            }
        });
        Ok(pooled_connection::PooledConnection::new(sender))
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::BTreeMap<net::SocketAddr, ServerConnections>> {
        self.servers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Checks that a status is one of a final answer. Requests ask for no other protocol.
fn check_status(status: http::StatusCode) -> Result<(), border::BorderError> {
    if FINAL_STATUSES.contains(&status.as_u16()) {
        return Ok(());
    }
    Err(border::BorderError::Malformed {
        detail: format!("status {} is none of an answer", status.as_u16()),
    })
}

fn set_connection_headers(request: &mut http::Request<WholeBody>, server: net::SocketAddr) {
    let headers = request.headers_mut();
    if !headers.contains_key(http::header::HOST)
        && let Ok(host) = http::HeaderValue::from_str(&server.to_string())
    {
        headers.insert(http::header::HOST, host);
    }
    let trace = trace_scope::current_trace().map(|trace| trace.to_string());
    if let Some(Ok(value)) = trace.map(|text| http::HeaderValue::from_str(&text)) {
        headers.insert(border::TRACE_HEADER, value);
    }
}

/// Makes the error of a request whose first byte never left.
pub(crate) fn not_sent(detail: impl Into<String>) -> border::BorderError {
    border::BorderError::NotSent {
        detail: detail.into(),
    }
}

/// Makes the error of a request that may have reached the far end.
pub(crate) fn lost(detail: impl Into<String>) -> border::BorderError {
    border::BorderError::Lost {
        detail: detail.into(),
    }
}
