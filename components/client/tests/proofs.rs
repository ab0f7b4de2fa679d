//! What the errors of the connection pool prove.

use std::{net, sync, time};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// A clock that stands still.
struct StoppedClock;

impl clock::ClockSource for StoppedClock {
    fn now(&self) -> clock::Timestamp {
        clock::Timestamp::from_millis(10)
    }

    fn wall_millis(&self) -> u64 {
        0
    }
}

fn pool() -> sync::Arc<client::ConnectionPool> {
    let clock = sync::Arc::new(StoppedClock);
    client::ConnectionPool::new(client::PoolSettings::default(), clock)
}

fn request() -> http::Request<http_body_util::Full<bytes::Bytes>> {
    http::Request::post("/confirm")
        .body(http_body_util::Full::default())
        .expect("the request is well formed")
}

async fn listener() -> (tokio::net::TcpListener, net::SocketAddr) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    (listener, address)
}

#[tokio::test]
async fn a_refused_connection_proves_that_nothing_was_sent() {
    let (listener, address) = listener().await;
    drop(listener);

    let sent = pool().send(address, request(), clock::Timestamp::MAX).await;

    assert!(sent.is_err_and(|error| error.proves_not_run()));
}

#[tokio::test]
async fn a_late_start_sends_no_byte() {
    let (listener, address) = listener().await;
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await?;
        Ok::<_, std::io::Error>(bytes)
    });

    let start_by = clock::Timestamp::from_millis(9);
    let sent = pool().send(address, request(), start_by).await;
    let received = served.await.expect("the server doesn't panic");

    assert!(sent.is_err_and(|error| error.proves_not_run()));
    assert_eq!(received.expect("the connection closes"), b"");
}

#[tokio::test]
async fn a_connection_that_closes_after_the_request_proves_nothing() {
    let (listener, address) = listener().await;
    let served = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let mut bytes = [0; 16];
        stream.read_exact(&mut bytes).await
    });

    let sent = pool().send(address, request(), clock::Timestamp::MAX).await;
    let received = served.await.expect("the server doesn't panic");

    assert!(received.is_ok());
    assert!(sent.is_err_and(|error| matches!(error, border::BorderError::Lost { .. })));
}

#[tokio::test]
async fn a_kept_connection_that_the_server_closed_costs_no_call_and_repeats_none() {
    let (listener, address) = listener().await;
    let served = tokio::spawn(async move {
        for _ in 0..3 {
            let (mut stream, _) = listener.accept().await?;
            let mut bytes = [0; 1_024];
            assert!(stream.read(&mut bytes).await? > 0);
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await?;
        }
        let more = tokio::time::timeout(time::Duration::from_millis(100), listener.accept());
        Ok::<_, std::io::Error>(more.await.is_ok())
    });
    let pool = pool();

    for _ in 0..3 {
        let mut answer = pool
            .send(address, request(), clock::Timestamp::MAX)
            .await
            .expect("the server answers");
        answer.whole_body().await.expect("the body is empty");
        // The pool notices the close as soon as its connection's task has run.
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let was_asked_again = served.await.expect("the server doesn't panic");

    assert!(!was_asked_again.expect("the server reads"));
}
