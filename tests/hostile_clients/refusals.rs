//! What a client is told whose body isn't read to its end.

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

use crate::{
    bounded_process, client_crowd,
    node_site::{self, MAX_BODY_BYTES},
};

/// Limits of the smallest instance of the deployments, and few descriptors.
const LIMITS: bounded_process::ProcessLimits = bounded_process::ProcessLimits {
    memory_mb: 88,
    descriptors: 400,
};

/// Number of times that a client tries.
const TRIES: usize = 20;

/// Sends bytes and goes on sending more until the server takes none, and returns all that it answers.
async fn send_on(address: std::net::SocketAddr, bytes: Vec<u8>, more: Vec<u8>) -> String {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("the instance accepts connections");
    let (mut reading, mut writing) = stream.into_split();
    let sending = tokio::spawn(async move {
        let _taken = writing.write_all(&bytes).await;
        let _taken = writing.write_all(&more).await;
        writing
    });
    let mut answer = Vec::new();
    // The connection may be reset after the answer.
    let _ended = reading.read_to_end(&mut answer).await;
    drop(sending.await);
    String::from_utf8_lossy(&answer).into_owned()
}

// What follows a body that isn't read must not be taken for a request, and the client learns why.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_arrives_while_the_client_goes_on_sending() {
    let mut site = node_site::NodeSite::start(1, LIMITS).await;
    let smuggled = client_crowd::sized_head("/order/x", 777, 0);
    for number in 0..TRIES {
        let head = client_crowd::chunked_head("/order/x", number);
        let mut bytes = head.into_bytes();
        bytes.extend(client_crowd::chunks(MAX_BODY_BYTES + 1_000, 1_000));
        let more = smuggled.repeat(2_000).into_bytes();

        let answer = send_on(site.front(), bytes, more).await;

        assert!(answer.starts_with("HTTP/1.1 413 "), "{number}: {answer:?}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer:?}");
    }
    let requests: usize = site
        .site
        .servers
        .iter()
        .map(|server| server.requests().len())
        .sum();
    assert_eq!(requests, 0);
    site.assert_serves().await;
}
