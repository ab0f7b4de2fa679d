//! Connections that other instances open.

use std::{io, pin, task};

use futures_util::stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tonic::transport::server;

/// A connection that another instance has opened.
pub(crate) struct PeerConnection {
    inner: intake::GuardedStream,
}

/// Returns the connections that a listener accepts.
pub(crate) fn incoming(
    listener: intake::ConnectionListener,
) -> impl stream::Stream<Item = io::Result<PeerConnection>> {
    stream::unfold(listener, |listener| async move {
        let (inner, _) = listener.accept().await;
        if let Err(error) = inner.inner().set_nodelay(true) {
            tracing::debug!(%error, "the connection of an instance can't be set up");
        }
        Some((Ok(PeerConnection { inner }), listener))
    })
}

impl server::Connected for PeerConnection {
    type ConnectInfo = ();

    fn connect_info(&self) -> Self::ConnectInfo {}
}

impl AsyncRead for PeerConnection {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for PeerConnection {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write_vectored(context, slices)
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
