//! Bodies as they arrive, without a network.

use std::{convert, sync, time};

use intake::{ConnectionClass, IntakeError};

/// Largest body in bytes.
const LIMIT_BYTES: usize = 100_000;

/// Memory that a body of this size may take, without that of its connection, in bytes.
const MAX_HELD_BYTES: usize = LIMIT_BYTES * 5 / 4 - 24 * 1024;

fn new_intake() -> sync::Arc<intake::Intake> {
    let limits = intake::IntakeLimits::builder()
        .memory_bytes(1_000_000)
        .connection_bytes(0)
        .serving_bytes(0)
        .descriptors(1_000)
        .build();
    intake::Intake::new(limits, sync::Arc::new(clock::SystemClock::start()))
}

fn terms(timeout: time::Duration) -> intake::BodyTerms {
    intake::BodyTerms {
        limit_bytes: LIMIT_BYTES,
        read_by: tokio::time::Instant::now() + timeout,
    }
}

/// Returns a body of pieces of a size, each after a pause.
fn body_of(
    pieces: usize,
    piece_bytes: usize,
    pause: time::Duration,
) -> impl http_body::Body<Data = bytes::Bytes, Error = convert::Infallible> {
    let frames = futures_util::stream::unfold(0, move |sent| async move {
        if sent == pieces {
            return None;
        }
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let piece = bytes::Bytes::from(vec![b'x'; piece_bytes]);
        Some((Ok(http_body::Frame::data(piece)), sent + 1))
    });
    http_body_util::StreamBody::new(frames)
}

async fn read(
    intake: &sync::Arc<intake::Intake>,
    body: impl http_body::Body<Data = bytes::Bytes>,
    timeout: time::Duration,
) -> Result<intake::HeldBody, IntakeError> {
    let slot = intake.admit(ConnectionClass::Caller).expect("a place");
    let share = slot.begin_request(0).await?;
    intake::read_body(share, body, terms(timeout)).await
}

#[tokio::test(start_paused = true)]
async fn a_body_in_pieces_of_a_byte_holds_little_more_than_its_bytes() {
    let intake = new_intake();

    let held = read(
        &intake,
        body_of(LIMIT_BYTES, 1, time::Duration::ZERO),
        time::Duration::MAX / 4,
    );
    let held = held.await.expect("the body is whole");

    assert_eq!(held.bytes.len(), LIMIT_BYTES);
    assert!(intake.usage().1 < MAX_HELD_BYTES, "{:?}", intake.usage());
    drop(held);
    assert_eq!(intake.usage(), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_body_that_comes_at_a_byte_a_second_ends_at_its_deadline() {
    let intake = new_intake();

    let body = body_of(LIMIT_BYTES, 1, time::Duration::from_secs(1));
    let error = read(&intake, body, time::Duration::from_secs(10))
        .await
        .err();

    assert_eq!(error, Some(IntakeError::TimedOut));
    assert_eq!(intake.usage(), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_body_beyond_its_limit_is_refused() {
    let intake = new_intake();
    let announced = http_body_util::Full::new(bytes::Bytes::from(vec![0; LIMIT_BYTES + 1]));

    let chunked = read(
        &intake,
        body_of(2, LIMIT_BYTES, time::Duration::ZERO),
        time::Duration::from_secs(1),
    );
    let errors = (
        chunked.await.err(),
        read(&intake, announced, time::Duration::from_secs(1))
            .await
            .err(),
    );

    assert_eq!(
        errors,
        (Some(IntakeError::TooLarge), Some(IntakeError::TooLarge))
    );
}

#[tokio::test(start_paused = true)]
async fn bodies_that_stop_make_room_for_others() {
    let intake = new_intake();
    let mut crowd = tokio::task::JoinSet::new();
    for _ in 0..12 {
        let intake = sync::Arc::clone(&intake);
        crowd.spawn(async move {
            let body = body_of(2, 60_000, time::Duration::from_secs(50));
            read(&intake, body, time::Duration::from_secs(500))
                .await
                .err()
        });
    }
    tokio::time::sleep(time::Duration::from_secs(60)).await;

    let body = body_of(3, 15_000, time::Duration::from_millis(1));
    let held = read(&intake, body, time::Duration::from_secs(5)).await;

    assert_eq!(held.map(|held| held.bytes.len()).ok(), Some(45_000));
    assert!(intake.usage().1 <= 1_000_000, "{:?}", intake.usage());
}
