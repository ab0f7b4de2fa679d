//! Opens connections to servers.

use std::{io, net, time};

/// Time without traffic after which a connection is probed.
const KEEPALIVE_TIME: time::Duration = time::Duration::from_secs(1);

/// Time between two probes of a connection, in whole seconds as the system counts it.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time without an acknowledgement after which a connection is closed. On Linux it also decides when
/// probes give up, whatever their number. Sound servers fall silent for a second or so.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// Opens connections to servers.
#[async_trait::async_trait]
pub trait ServerDialer: Send + Sync {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the connection can't be opened.
    async fn dial(&self, server: net::SocketAddr) -> io::Result<tokio::net::TcpStream>;
}

/// Opens TCP connections, which close when the path to the server is lost.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer {
    /// Address from which connections are opened; `None` lets the system choose.
    source: Option<net::Ipv4Addr>,
}

impl TcpDialer {
    /// Creates a dialer whose connections come from an address of this machine.
    #[must_use]
    pub const fn from_address(source: net::Ipv4Addr) -> Self {
        Self {
            source: Some(source),
        }
    }
}

#[async_trait::async_trait]
impl ServerDialer for TcpDialer {
    async fn dial(&self, server: net::SocketAddr) -> io::Result<tokio::net::TcpStream> {
        let socket = match server {
            net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
            net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
        };
        if let Some(source) = self.source.filter(|_| server.is_ipv4()) {
            socket.bind(net::SocketAddr::from((source, 0)))?;
        }
        let stream = socket.connect(server).await?;
        stream.set_nodelay(true)?;
        let keepalive = socket2::TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_INTERVAL);
        let options = socket2::SockRef::from(&stream);
        options.set_tcp_keepalive(&keepalive)?;
        options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        Ok(stream)
    }
}
