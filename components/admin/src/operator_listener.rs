//! Accepts connections of operators.

use std::{io, net};

/// Accepts connections of operators that have a place.
pub(crate) struct OperatorListener {
    inner: intake::ConnectionListener,
}

impl OperatorListener {
    pub(crate) const fn new(inner: intake::ConnectionListener) -> Self {
        Self { inner }
    }
}

impl axum::serve::Listener for OperatorListener {
    type Io = intake::GuardedStream;
    type Addr = net::SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        self.inner.accept().await
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        self.inner.local_addr()
    }
}
