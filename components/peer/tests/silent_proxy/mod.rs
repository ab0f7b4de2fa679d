//! A proxy whose open connections can be made to go silent.

use std::net;

use tokio::{
    io::{self, AsyncWriteExt as _},
    sync::watch,
};

/// Passes connections on until they are silenced; later connections work.
pub struct SilentProxy {
    address: net::SocketAddr,
    /// Connections with a number up to this one pass nothing on.
    silenced: watch::Sender<u64>,
    opened: watch::Receiver<u64>,
}

impl SilentProxy {
    pub async fn start(target: net::SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("loopback can be listened on");
        let address = listener.local_addr().expect("a listener has an address");
        let (silenced, silence) = watch::channel(0);
        let (count, opened) = watch::channel(0);
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((caller, _)) = listener.accept().await {
                number += 1;
                count.send_replace(number);
                tokio::spawn(forward(caller, target, number, silence.clone()));
            }
        });
        Self {
            address,
            silenced,
            opened,
        }
    }

    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    pub fn silence_open_connections(&self) {
        let opened = *self.opened.borrow();
        self.silenced.send_replace(opened);
    }
}

async fn forward(
    caller: tokio::net::TcpStream,
    target: net::SocketAddr,
    number: u64,
    silence: watch::Receiver<u64>,
) {
    let Ok(server) = tokio::net::TcpStream::connect(target).await else {
        return;
    };
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    tokio::join!(
        pass_on(caller_read, server_write, number, silence.clone()),
        pass_on(server_read, caller_write, number, silence),
    );
}

/// Copies bytes; once silenced it reads on, drops what it reads and tells nobody.
async fn pass_on(
    mut from: impl io::AsyncRead + Unpin,
    mut to: impl io::AsyncWrite + Unpin,
    number: u64,
    silence: watch::Receiver<u64>,
) {
    use io::AsyncReadExt as _;
    let mut buffer = vec![0; 16_384];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            break;
        }
        if *silence.borrow() < number && to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
}
