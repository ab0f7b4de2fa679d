//! Opens connections to servers.

use std::{io, net};

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

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

#[async_trait::async_trait]
impl ServerDialer for TcpDialer {
    async fn dial(&self, server: net::SocketAddr) -> io::Result<tokio::net::TcpStream> {
        let stream = tokio::net::TcpStream::connect(server).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
