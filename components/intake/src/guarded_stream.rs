//! A connection that ends when its place is given up.

use std::{io, pin, task, time};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net,
};

use crate::{close_step, connection_slot};

/// Time for which a refused client may go on sending, so that the refusal isn't lost in a reset.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Bytes that a refused client may go on sending.
const LINGER_BYTES: usize = 1024 * 1024;

/// Size of the buffer into which the rest of a refused request is read, in bytes.
const DISCARD_BYTES: usize = 4 * 1024;

/// The wait for a refused client to end.
struct Linger {
    timeout: pin::Pin<Box<tokio::time::Sleep>>,
    left_bytes: usize,
    _place: tokio::sync::OwnedSemaphorePermit,
}

/// A connection that ends when its place is given up. After a refusal it is closed in order: the
/// client's further bytes are dropped until the client ends or a bound is reached.
pub struct GuardedStream {
    inner: net::TcpStream,
    slot: connection_slot::ConnectionSlot,
    is_blocked: bool,
    linger: Option<Linger>,
    is_closed: bool,
}

impl GuardedStream {
    /// Guards a connection that has a place.
    #[must_use]
    pub const fn new(inner: net::TcpStream, slot: connection_slot::ConnectionSlot) -> Self {
        Self {
            inner,
            slot,
            is_blocked: false,
            linger: None,
            is_closed: false,
        }
    }

    /// Returns the connection.
    #[must_use]
    pub const fn inner(&self) -> &net::TcpStream {
        &self.inner
    }

    /// Returns the place of the connection.
    #[must_use]
    pub const fn slot(&self) -> &connection_slot::ConnectionSlot {
        &self.slot
    }

    /// Records the result of a write.
    fn record_write<T>(&mut self, result: &task::Poll<io::Result<T>>) {
        let is_blocked = result.is_pending();
        if is_blocked == self.is_blocked {
            return;
        }
        self.is_blocked = is_blocked;
        let key = self.slot.key();
        self.slot
            .intake()
            .decide(|table, now| table.record_output(now, key, is_blocked));
    }

    fn record_read(&self) {
        let key = self.slot.key();
        self.slot
            .intake()
            .decide(|table, now| table.record_input(now, key));
    }

    fn is_aborted(&self, context: &task::Context<'_>) -> bool {
        self.slot
            .signal()
            .poll_writer(context, close_step::CloseStep::Abort)
    }

    /// Drops what a refused client still sends.
    fn poll_linger(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let Some(linger) = &mut self.linger else {
            return task::Poll::Ready(());
        };
        loop {
            let mut bytes = [0; DISCARD_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            match pin::Pin::new(&mut self.inner).poll_read(context, &mut buffer) {
                task::Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    let read = buffer.filled().len();
                    let Some(left) = linger.left_bytes.checked_sub(read) else {
                        return task::Poll::Ready(());
                    };
                    linger.left_bytes = left;
                }
                task::Poll::Ready(_) => return task::Poll::Ready(()),
                task::Poll::Pending => return linger.timeout.as_mut().poll(context),
            }
        }
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self
            .slot
            .signal()
            .poll_reader(context, close_step::CloseStep::Refuse)
        {
            return task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let filled = buffer.filled().len();
        task::ready!(pin::Pin::new(&mut self.inner).poll_read(context, buffer))?;
        if buffer.filled().len() > filled {
            self.record_read();
        }
        task::Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        if self.is_aborted(context) {
            return task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let result = pin::Pin::new(&mut self.inner).poll_write(context, bytes);
        self.record_write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        if self.is_aborted(context) {
            return task::Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let result = pin::Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.record_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        // The HTTP library flushes once it has written all that it has.
        self.slot.record_flush();
        pin::Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if !self.is_closed {
            task::ready!(pin::Pin::new(&mut self.inner).poll_shutdown(context))?;
            self.is_closed = true;
            self.linger = self.slot.begin_linger().map(|place| Linger {
                timeout: Box::pin(tokio::time::sleep(LINGER_TIMEOUT)),
                left_bytes: LINGER_BYTES,
                _place: place,
            });
        }
        if !self.is_aborted(context) {
            task::ready!(self.poll_linger(context));
        }
        self.linger = None;
        task::Poll::Ready(Ok(()))
    }
}
