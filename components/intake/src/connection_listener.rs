//! Accepts connections that have a place.

use std::{fs, io, net, sync, time};

use crate::{connection_class, guarded_stream, shared_intake};

/// Delay after a failed accept, as when the process has run out of descriptors.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// File in which the system tells the limits of the process.
const DESCRIPTOR_FILE: &str = "/proc/self/limits";

/// Line of that file on descriptors; the first number after it is the limit in force.
const DESCRIPTOR_LINE: &str = "Max open files";

/// Accepts connections that have a place in an intake.
pub struct ConnectionListener {
    inner: tokio::net::TcpListener,
    intake: sync::Arc<shared_intake::Intake>,
    class: connection_class::ConnectionClass,
}

impl ConnectionListener {
    /// Creates a listener on a bound one.
    #[must_use]
    pub const fn new(
        inner: tokio::net::TcpListener,
        intake: sync::Arc<shared_intake::Intake>,
        class: connection_class::ConnectionClass,
    ) -> Self {
        Self {
            inner,
            intake,
            class,
        }
    }

    /// Returns the address of the listener.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the socket has no address.
    pub fn local_addr(&self) -> io::Result<net::SocketAddr> {
        self.inner.local_addr()
    }

    /// Returns the next connection with the address of its client. A connection without a place is
    /// closed. Dropping the future loses nothing.
    pub async fn accept(&self) -> (guarded_stream::GuardedStream, net::SocketAddr) {
        loop {
            match self.inner.accept().await {
                Ok((stream, address)) => {
                    if let Some(slot) = self.intake.admit(self.class) {
                        return (guarded_stream::GuardedStream::new(stream, slot), address);
                    }
                }
                Err(_) => {
                    // Accepting works again when a descriptor is free.
                    self.intake.relieve(self.class);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Returns the number of descriptors that the system allows the process, as far as it tells.
#[must_use]
pub fn system_descriptors() -> Option<usize> {
    let text = fs::read_to_string(DESCRIPTOR_FILE).ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(DESCRIPTOR_LINE))?;
    line.split_whitespace().next()?.parse().ok()
}
