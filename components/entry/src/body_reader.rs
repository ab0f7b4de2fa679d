//! Reads a caller's body within bounds of size, time and memory.

use std::time;

use crate::{entry_context, entry_error};

/// Reads a whole body; `parts` are those of its request.
pub(crate) async fn read(
    context: &entry_context::EntryContext,
    parts: &http::request::Parts,
    body: axum::body::Body,
) -> Result<intake::HeldBody, entry_error::EntryError> {
    let slot = parts.extensions.get::<intake::ConnectionSlot>();
    let slot = slot.ok_or(entry_error::EntryError::InstanceFull)?;
    let limits = &context.limits;
    let timeout = time::Duration::from_millis(limits.body_timeout_ms);
    let terms = intake::BodyTerms {
        limit_bytes: limits.body_bytes,
        read_by: tokio::time::Instant::now() + timeout,
    };
    let read = async {
        let share = slot.begin_request(0).await?;
        intake::read_body(share, body, terms).await
    };
    read.await.map_err(|error| match error {
        intake::IntakeError::TooLarge => entry_error::EntryError::BodyTooLarge {
            limit: limits.body_bytes,
        },
        intake::IntakeError::Broken => entry_error::EntryError::BodyBroken,
        intake::IntakeError::TimedOut => entry_error::EntryError::BodyTooSlow {
            limit_ms: limits.body_timeout_ms,
        },
        intake::IntakeError::NoRoom => entry_error::EntryError::InstanceFull,
    })
}
