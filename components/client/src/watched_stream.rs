//! A connection that doesn't end in order while the far end hasn't taken what was sent.
//!
//! The end of a connection ends an answer without a length. A server that ends it while it still gets the
//! request, or closes without having read it, has broken off. A reset that follows such an end isn't seen by
//! reads, nor is one that has failed a write: the socket tells of it once.

use std::{io, pin, task};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net,
};

/// A connection that doesn't end in order while the far end hasn't taken what was sent.
pub(crate) struct WatchedStream {
    inner: net::TcpStream,
    /// Whether a write has failed.
    has_failed: bool,
    /// Whether the last write waits until the far end takes more.
    is_blocked: bool,
}

impl WatchedStream {
    pub(crate) const fn new(inner: net::TcpStream) -> Self {
        Self {
            inner,
            has_failed: false,
            is_blocked: false,
        }
    }

    /// Returns whether the far end has broken off, rather than ended in order.
    fn has_broken(&self) -> bool {
        let was_reset = !matches!(self.inner.take_error(), Ok(None));
        self.has_failed || self.is_blocked || was_reset
    }

    fn record<T>(&mut self, result: &task::Poll<io::Result<T>>) {
        self.is_blocked = result.is_pending();
        self.has_failed |= matches!(result, task::Poll::Ready(Err(_)));
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let (room, filled) = (buffer.remaining(), buffer.filled().len());
        task::ready!(pin::Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let has_ended = room > 0 && buffer.filled().len() == filled;
        if has_ended && self.has_broken() {
            return task::Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        task::Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let result = pin::Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record(&result);
        result
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let result = pin::Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.record(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
