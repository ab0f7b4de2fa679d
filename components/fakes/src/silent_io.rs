//! A connection that can go silent.

use std::{io, pin, sync, sync::atomic, task};

/// A connection that goes silent when its server is told so: it stays open and nothing passes.
pub(crate) struct SilentIo {
    pub(crate) stream: tokio::net::TcpStream,
    /// Number of times the server had been silenced when the connection opened.
    pub(crate) opened_at: u64,
    /// Number of times the server has been silenced by now.
    pub(crate) silenced: sync::Arc<atomic::AtomicU64>,
}

impl SilentIo {
    fn is_silent(&self) -> bool {
        self.silenced.load(atomic::Ordering::Acquire) > self.opened_at
    }

    fn stream(&mut self) -> pin::Pin<&mut tokio::net::TcpStream> {
        pin::Pin::new(&mut self.stream)
    }
}

impl tokio::io::AsyncRead for SilentIo {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.is_silent() {
            return task::Poll::Pending;
        }
        let filled = buffer.filled().len();
        let result = tokio::io::AsyncRead::poll_read(self.stream(), context, buffer);
        if self.is_silent() {
            buffer.set_filled(filled);
            return task::Poll::Pending;
        }
        result
    }
}

impl tokio::io::AsyncWrite for SilentIo {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        data: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        if self.is_silent() {
            return task::Poll::Pending;
        }
        tokio::io::AsyncWrite::poll_write(self.stream(), context, data)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.is_silent() {
            return task::Poll::Pending;
        }
        tokio::io::AsyncWrite::poll_flush(self.stream(), context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.is_silent() {
            return task::Poll::Pending;
        }
        tokio::io::AsyncWrite::poll_shutdown(self.stream(), context)
    }
}
