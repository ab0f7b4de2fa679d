//! Reads a body within bounds of size, memory and time.

use std::{sync::atomic, task};

use http_body_util::BodyExt as _;

use crate::{body_buffer, intake_error, request_share};

/// Size below which a piece of a body counts as small, in bytes.
const SMALL_PIECE_BYTES: usize = 64;

/// Pieces after which, if they are small, the readers of other bodies have their turn.
const PIECES_PER_TURN: u32 = 64;

/// Bounds of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyTerms {
    /// Largest body, in bytes.
    pub limit_bytes: usize,
    /// Time at which a body that isn't whole is given up.
    pub read_by: tokio::time::Instant,
}

/// A whole body, with the memory that it and its head hold.
pub struct HeldBody {
    /// The body.
    pub bytes: bytes::Bytes,
    /// The memory of the request; to be kept as long as the request.
    pub share: request_share::RequestShare,
}

/// Reads a whole body into the share of its request. A request that isn't read to its end is refused,
/// and its connection ends after the answer.
///
/// # Errors
///
/// Returns an error if the body exceeds a bound or breaks off, or if there is no room for it.
pub async fn read_body<B>(
    share: request_share::RequestShare,
    body: B,
    terms: BodyTerms,
) -> Result<HeldBody, intake_error::IntakeError>
where
    B: http_body::Body<Data = bytes::Bytes>,
{
    let slot = share.slot().clone();
    let pieces = atomic::AtomicU32::new(0);
    let reading = read_pieces(share, body, terms.limit_bytes, &pieces);
    let bounds = async {
        tokio::select! {
            () = tokio::time::sleep_until(terms.read_by) => intake_error::IntakeError::TimedOut,
            () = slot.given_up() => intake_error::IntakeError::NoRoom,
        }
    };
    let read = within(reading, bounds, &pieces).await;
    read.inspect_err(|error| {
        slot.intake().counts().refuse_body(*error);
        slot.refuse();
    })
}

/// Reads until the end or a bound. As long as pieces arrive one by one, the bounds are checked once in
/// [`PIECES_PER_TURN`] of them, since a check costs about as much as a small piece.
async fn within<T>(
    reading: impl Future<Output = Result<T, intake_error::IntakeError>>,
    bounds: impl Future<Output = intake_error::IntakeError>,
    pieces: &atomic::AtomicU32,
) -> Result<T, intake_error::IntakeError> {
    let mut reading = std::pin::pin!(reading);
    let mut bounds = std::pin::pin!(bounds);
    let mut before = None;
    std::future::poll_fn(|context| {
        if let task::Poll::Ready(read) = reading.as_mut().poll(context) {
            return task::Poll::Ready(read);
        }
        let now = pieces.load(atomic::Ordering::Relaxed);
        let is_moving = before.replace(now).is_some_and(|before| before != now);
        if is_moving && !now.is_multiple_of(PIECES_PER_TURN) {
            return task::Poll::Pending;
        }
        bounds.as_mut().poll(context).map(Err)
    })
    .await
}

async fn read_pieces<B>(
    mut share: request_share::RequestShare,
    body: B,
    limit_bytes: usize,
    pieces: &atomic::AtomicU32,
) -> Result<HeldBody, intake_error::IntakeError>
where
    B: http_body::Body<Data = bytes::Bytes>,
{
    let announced = body.size_hint().lower();
    if usize::try_from(announced).map_or(true, |announced| announced > limit_bytes) {
        return Err(intake_error::IntakeError::TooLarge);
    }
    let mut buffer = body_buffer::BodyBuffer::new(limit_bytes);
    let mut body = std::pin::pin!(body);
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            // The connection of a request that was given up reads nothing more.
            let was_given_up = share.slot().is_ending();
            return Err(if was_given_up {
                intake_error::IntakeError::NoRoom
            } else {
                intake_error::IntakeError::Broken
            });
        };
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        buffer.push(&mut share, &piece).await?;
        let read = pieces.fetch_add(1, atomic::Ordering::Relaxed) + 1;
        if piece.len() < SMALL_PIECE_BYTES && read.is_multiple_of(PIECES_PER_TURN) {
            give_turn(&share).await?;
        }
    }
    let bytes = buffer.finish(&mut share);
    share.complete().await?;
    Ok(HeldBody { bytes, share })
}

/// Lets other tasks run. Of all bodies in small pieces one is read at a time, so that ordinary
/// requests don't wait for a turn of each.
async fn give_turn(share: &request_share::RequestShare) -> Result<(), intake_error::IntakeError> {
    let permit = share.slot().intake().small_piece_reads.acquire().await;
    let _permit = permit.map_err(|_| intake_error::IntakeError::NoRoom)?;
    tokio::task::yield_now().await;
    Ok(())
}
