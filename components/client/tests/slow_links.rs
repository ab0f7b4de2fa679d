//! Answers that arrive slowly.

use std::{net, sync, time};

use border::ConfigService as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Number of pieces of the answer.
const PIECES: usize = 12;

/// Time between two pieces; all take longer than a read may be silent.
const PIECE_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Starts a configuration service without notes that sends its answer in pieces.
async fn start_slow_service() -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await?;
        let _request = stream.read(&mut [0; 4_096]).await?;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n[", PIECES + 2);
        stream.write_all(head.as_bytes()).await?;
        for _ in 0..PIECES {
            tokio::time::sleep(PIECE_INTERVAL).await;
            stream.write_all(b" ").await?;
        }
        stream.write_all(b"]").await
    });
    address
}

#[tokio::test]
async fn read_of_release_notes_is_given_up_while_its_bytes_arrive() {
    let clock = sync::Arc::new(clock::SystemClock::start());
    let pool = client::ConnectionPool::new(client::PoolSettings::default(), clock);
    let gateway = client::ConfigGateway::new(pool, start_slow_service().await);

    let notes = gateway.read(ids::Revision::default()).await;

    assert_eq!(notes, Ok(Vec::new()));
}
