//! A reply of a backend server, read to its end.

use futures_util::StreamExt as _;

use crate::relay_client;

/// Largest answer that is held in memory, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// A reply of a backend server, read to its end.
pub(crate) struct BufferedReply {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: bytes::Bytes,
    pub(crate) not_run: bool,
}

/// Reads a reply to its end.
pub(crate) async fn collect(
    reply: relay_client::RelayReply,
) -> Result<BufferedReply, border::BorderError> {
    let mut body = reply.body;
    let mut bytes = bytes::BytesMut::new();
    while let Some(piece) = body.next().await {
        bytes.extend_from_slice(&piece?);
        if bytes.len() > MAX_BUFFERED_BYTES {
            return Err(border::BorderError::Malformed {
                detail: format!("the answer exceeds {MAX_BUFFERED_BYTES} bytes"),
            });
        }
    }
    Ok(BufferedReply {
        status: reply.status,
        headers: reply.headers,
        body: bytes.freeze(),
        not_run: reply.not_run,
    })
}

/// Returns what an error says of the server.
pub(crate) const fn outcome_of(error: &border::BorderError) -> relay::BackendOutcome {
    match error {
        border::BorderError::NotSent { .. } => relay::BackendOutcome::Unreachable,
        border::BorderError::Refused { .. } => relay::BackendOutcome::Refused,
        _ => relay::BackendOutcome::Broken,
    }
}
