//! Reads a caller's body within bounds of size and time.

use std::time;

use http_body_util::BodyExt as _;

use crate::{entry_context, entry_error};

/// A body in memory, with its share of the memory for bodies.
pub(crate) struct HeldBody {
    pub(crate) bytes: bytes::Bytes,
    pub(crate) share: Option<tokio::sync::OwnedSemaphorePermit>,
}

/// Reads a whole body.
pub(crate) async fn read(
    context: &entry_context::EntryContext,
    body: axum::body::Body,
) -> Result<HeldBody, entry_error::EntryError> {
    let limit_ms = context.limits.body_timeout_ms;
    let limit = time::Duration::from_millis(limit_ms);
    tokio::time::timeout(limit, read_all(context, body))
        .await
        .unwrap_or(Err(entry_error::EntryError::BodyTooSlow { limit_ms }))
}

async fn read_all(
    context: &entry_context::EntryContext,
    mut body: axum::body::Body,
) -> Result<HeldBody, entry_error::EntryError> {
    let limit = context.limits.body_bytes;
    let mut whole = bytes::BytesMut::new();
    let mut share: Option<tokio::sync::OwnedSemaphorePermit> = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| entry_error::EntryError::BodyBroken)?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if whole.len() + piece.len() > limit {
            return Err(entry_error::EntryError::BodyTooLarge { limit });
        }
        let more = context.gate.hold_bytes(piece.len())?;
        match &mut share {
            Some(share) => share.merge(more),
            None => share = Some(more),
        }
        whole.extend_from_slice(&piece);
    }
    Ok(HeldBody {
        bytes: whole.freeze(),
        share,
    })
}
