//! Receives whole answers over links of any rate.

use std::{net, sync, time};

use crate::{connection_pool, pooled_answer};

/// Time limits of a whole answer. They bound the time without progress rather than the duration,
/// so that a large answer also arrives over a slow link.
#[derive(Clone, Copy, Debug)]
pub struct FetchLimits {
    /// Time until the head of the answer arrives.
    pub head: time::Duration,
    /// Time between two pieces of the body.
    pub pause: time::Duration,
    /// Time for the whole body, which bounds an answer that never ends.
    pub body: time::Duration,
}

/// Largest report of a server on itself, in bytes.
const REPORT_LIMIT_BYTES: usize = 1024 * 1024;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// Status of the answer.
    pub status: http::StatusCode,
    /// Header fields of the answer.
    pub headers: http::HeaderMap,
    /// Body of the answer.
    pub body: bytes::Bytes,
}

impl connection_pool::ConnectionPool {
    /// Sends a request once and receives the whole answer within `limits`; `on_piece` gets the size
    /// of each piece of the body as it arrives.
    ///
    /// # Errors
    ///
    /// Returns `NotSent` when no byte left, `Malformed` when the body is too large, and `Lost` for
    /// every other failure.
    pub async fn fetch(
        self: &sync::Arc<Self>,
        server: net::SocketAddr,
        request: http::Request<connection_pool::WholeBody>,
        limits: FetchLimits,
        on_piece: impl FnMut(usize),
    ) -> Result<WholeAnswer, border::BorderError> {
        let sending = self.send(server, request, clock::Timestamp::MAX);
        receive_whole(sending, self.answer_limit_bytes(), limits, on_piece).await
    }

    /// Sends a request once over a connection of its own and receives the whole answer within
    /// `limits`.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::fetch`].
    pub async fn fetch_alone(
        self: &sync::Arc<Self>,
        server: net::SocketAddr,
        request: http::Request<connection_pool::WholeBody>,
        limits: FetchLimits,
    ) -> Result<WholeAnswer, border::BorderError> {
        let sending = self.send_alone(server, request);
        receive_whole(sending, REPORT_LIMIT_BYTES, limits, |_| ()).await
    }
}

async fn receive_whole(
    sending: impl Future<Output = Result<pooled_answer::PooledAnswer, border::BorderError>>,
    limit_bytes: usize,
    limits: FetchLimits,
    on_piece: impl FnMut(usize),
) -> Result<WholeAnswer, border::BorderError> {
    let mut answer = within(limits.head, "no answer", sending).await?;
    let (status, headers) = (answer.status(), answer.headers().clone());
    let body = receive_body(&mut answer, limit_bytes, limits, on_piece).await?;
    Ok(WholeAnswer {
        status,
        headers,
        body,
    })
}

/// Receives the whole body of an answer, of at most `limit_bytes`.
pub(crate) async fn receive_body(
    answer: &mut pooled_answer::PooledAnswer,
    limit_bytes: usize,
    limits: FetchLimits,
    on_piece: impl FnMut(usize),
) -> Result<bytes::Bytes, border::BorderError> {
    let receiving = receive_pieces(answer, limit_bytes, limits.pause, on_piece);
    within(limits.body, "no end of the body", receiving).await
}

async fn receive_pieces(
    answer: &mut pooled_answer::PooledAnswer,
    limit_bytes: usize,
    pause: time::Duration,
    mut on_piece: impl FnMut(usize),
) -> Result<bytes::Bytes, border::BorderError> {
    let mut body = bytes::BytesMut::new();
    while let Some(piece) = within(pause, "no byte of the body", answer.next_piece()).await? {
        on_piece(piece.len());
        if body.len() + piece.len() > limit_bytes {
            return Err(border::BorderError::Malformed {
                detail: format!("answer exceeds {limit_bytes} bytes"),
            });
        }
        body.extend_from_slice(&piece);
    }
    Ok(body.freeze())
}

async fn within<T>(
    limit: time::Duration,
    missing: &str,
    step: impl Future<Output = Result<T, border::BorderError>>,
) -> Result<T, border::BorderError> {
    let elapsed = |_| connection_pool::lost(format!("{missing} within {} ms", limit.as_millis()));
    tokio::time::timeout(limit, step).await.map_err(elapsed)?
}
