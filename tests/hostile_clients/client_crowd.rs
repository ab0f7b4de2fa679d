//! Clients that send what a test tells them and stay connected.

use std::{net, sync, time};

use tokio::io::AsyncWriteExt as _;

/// Time after which a client that isn't read gives up sending, and stays.
const SEND_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// What the clients of a crowd send: a head of their own and the same rest.
#[derive(Clone)]
pub struct ClientPayload {
    head: sync::Arc<dyn Fn(usize) -> String + Send + Sync>,
    rest: sync::Arc<Vec<u8>>,
    /// Number of times that the rest is sent.
    repeats: usize,
    /// Size of the buffer into which the system receives, if it isn't its own choice.
    receive_bytes: Option<u32>,
}

impl ClientPayload {
    pub fn new(head: impl Fn(usize) -> String + Send + Sync + 'static, rest: Vec<u8>) -> Self {
        Self {
            head: sync::Arc::new(head),
            rest: sync::Arc::new(rest),
            repeats: 1,
            receive_bytes: None,
        }
    }

    /// Sends the rest a number of times.
    pub fn repeated(mut self, repeats: usize) -> Self {
        self.repeats = repeats;
        self
    }

    /// Lets the system receive into a buffer of a size.
    pub fn receiving(mut self, bytes: u32) -> Self {
        self.receive_bytes = Some(bytes);
        self
    }
}

/// Connected clients; they leave on drop.
pub struct ClientCrowd {
    _streams: Vec<tokio::net::TcpStream>,
}

impl ClientCrowd {
    /// Connects a number of clients from an address, and waits until each has sent its payload, was
    /// cut off, or hasn't been read for some seconds.
    pub async fn gather_from(
        source: Option<net::Ipv4Addr>,
        address: net::SocketAddr,
        count: usize,
        payload: ClientPayload,
    ) -> Self {
        let mut clients = tokio::task::JoinSet::new();
        for number in 0..count {
            let payload = payload.clone();
            clients.spawn(async move {
                let mut stream = connect(source, address, payload.receive_bytes).await?;
                let sending = send(&mut stream, number, &payload);
                // The server may cut the client off, or not read it.
                let _ended = tokio::time::timeout(SEND_TIMEOUT, sending).await;
                Some(stream)
            });
        }
        let streams = clients.join_all().await;
        Self {
            _streams: streams.into_iter().flatten().collect(),
        }
    }

    /// Connects a number of clients from any address.
    pub async fn gather(address: net::SocketAddr, count: usize, payload: ClientPayload) -> Self {
        Self::gather_from(None, address, count, payload).await
    }
}

async fn connect(
    source: Option<net::Ipv4Addr>,
    address: net::SocketAddr,
    receive_bytes: Option<u32>,
) -> Option<tokio::net::TcpStream> {
    let socket = tokio::net::TcpSocket::new_v4().ok()?;
    if let Some(bytes) = receive_bytes {
        socket.set_recv_buffer_size(bytes).ok()?;
    }
    if let Some(source) = source {
        socket.bind((source, 0).into()).ok()?;
    }
    let connecting = socket.connect(address);
    tokio::time::timeout(SEND_TIMEOUT, connecting)
        .await
        .ok()?
        .ok()
}

async fn send(
    stream: &mut tokio::net::TcpStream,
    number: usize,
    payload: &ClientPayload,
) -> std::io::Result<()> {
    stream.write_all((payload.head)(number).as_bytes()).await?;
    for _ in 0..payload.repeats {
        stream.write_all(&payload.rest).await?;
    }
    Ok(())
}

/// Returns the head of a call with a body that is sent in chunks.
pub fn chunked_head(path: &str, number: usize) -> String {
    format!(
        "{}Transfer-Encoding: chunked\r\n\r\n",
        open_head(path, number)
    )
}

/// Returns the head of a call with a body of a length.
pub fn sized_head(path: &str, number: usize, length: usize) -> String {
    format!(
        "{}Content-Length: {length}\r\n\r\n",
        open_head(path, number)
    )
}

/// Returns the head of a call without its end.
pub fn open_head(path: &str, number: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: crowd-{number}\r\n\
         X-Deadline-Ms: 600000\r\n"
    )
}

/// Returns a body in chunks of a size, without its end.
pub fn chunks(body_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut text = Vec::new();
    for _ in 0..body_bytes / chunk_bytes {
        text.extend_from_slice(format!("{chunk_bytes:x}\r\n").as_bytes());
        text.resize(text.len() + chunk_bytes, b'x');
        text.extend_from_slice(b"\r\n");
    }
    text
}
