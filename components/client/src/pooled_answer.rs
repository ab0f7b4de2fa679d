//! An answer on a pooled connection.

use std::{net, sync};

use http_body_util::BodyExt as _;

use crate::{connection_pool, pooled_connection};

/// Where a connection goes when its answer has been read.
pub(crate) struct PoolReturn {
    pub(crate) pool: sync::Arc<connection_pool::ConnectionPool>,
    pub(crate) server: net::SocketAddr,
    pub(crate) epoch: u64,
}

/// An answer whose body is still to be read; dropping it early closes the connection.
pub struct PooledAnswer {
    parts: http::response::Parts,
    body: hyper::body::Incoming,
    connection: Option<pooled_connection::PooledConnection>,
    history: border::ConnectionUse,
    origin: PoolReturn,
    /// Whether the connection may be used again.
    is_reusable: bool,
}

impl PooledAnswer {
    pub(crate) fn new(
        response: http::Response<hyper::body::Incoming>,
        mut connection: pooled_connection::PooledConnection,
        origin: PoolReturn,
    ) -> Self {
        let (parts, body) = response.into_parts();
        Self {
            parts,
            body,
            history: connection.record_answer(),
            connection: Some(connection),
            origin,
            is_reusable: true,
        }
    }

    /// Makes the connection close after the answer instead of being used again.
    pub const fn close_after(&mut self) {
        self.is_reusable = false;
    }

    /// Returns the history of the connection before this answer.
    #[must_use]
    pub const fn history(&self) -> border::ConnectionUse {
        self.history
    }

    /// Returns the status of the answer.
    #[must_use]
    pub const fn status(&self) -> http::StatusCode {
        self.parts.status
    }

    /// Returns the reason phrase of the answer, if it isn't the usual one of its status.
    #[must_use]
    pub fn reason(&self) -> Option<&[u8]> {
        let reason = self.parts.extensions.get::<hyper::ext::ReasonPhrase>();
        reason.map(hyper::ext::ReasonPhrase::as_bytes)
    }

    /// Returns the header fields of the answer.
    #[must_use]
    pub const fn headers(&self) -> &http::HeaderMap {
        &self.parts.headers
    }

    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns `Lost` when the connection breaks.
    pub async fn next_piece(&mut self) -> Result<Option<bytes::Bytes>, border::BorderError> {
        loop {
            match self.body.frame().await {
                None => {
                    self.give_back();
                    return Ok(None);
                }
                Some(Err(error)) => return Err(connection_pool::lost(error.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(piece) = frame.into_data() {
                        return Ok(Some(piece));
                    }
                }
            }
        }
    }

    /// Reads the whole body, of the largest answer that the pool reads into memory at most.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::body_within`].
    pub async fn whole_body(&mut self) -> Result<bytes::Bytes, border::BorderError> {
        self.body_within(self.origin.pool.answer_limit_bytes())
            .await
    }

    /// Reads the whole body, of `limit` bytes at most.
    ///
    /// # Errors
    ///
    /// Returns `Lost` when the connection breaks and `Malformed` when the body is too large.
    pub async fn body_within(&mut self, limit: usize) -> Result<bytes::Bytes, border::BorderError> {
        let mut whole = bytes::BytesMut::new();
        while let Some(piece) = self.next_piece().await? {
            if whole.len() + piece.len() > limit {
                return Err(border::BorderError::Malformed {
                    detail: format!("answer exceeds {limit} bytes"),
                });
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    fn give_back(&mut self) {
        let origin = &self.origin;
        let connection = self.connection.take().filter(|_| self.is_reusable);
        if let Some(connection) = connection {
            origin
                .pool
                .give_back(origin.server, origin.epoch, connection);
        }
    }
}
