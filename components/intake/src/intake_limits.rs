//! Limits of what a process takes in.

use std::time;

use crate::connection_class;

/// Bytes of a request that don't count as large, more than most requests have.
pub(crate) const SMALL_REQUEST_BYTES: usize = 64 * 1024;

/// Descriptors that are kept for files, at most a quarter of all.
const FILE_DESCRIPTORS: usize = 200;

/// Connections of a class that any process takes.
const MIN_CONNECTIONS: usize = 4;

/// Limits of what a process takes in.
#[derive(Clone, Copy, Debug, bon::Builder)]
pub struct IntakeLimits {
    /// Memory for connections, heads and bodies together, in bytes. A quarter of it is for requests
    /// of at most 64 KiB alone.
    pub memory_bytes: usize,
    /// Memory that a connection takes beside the body, in bytes.
    #[builder(default = 24 * 1024)]
    pub connection_bytes: usize,
    /// Memory that a request takes while it is served, in bytes: a connection to a server and the part
    /// of an answer that has arrived.
    #[builder(default = 64 * 1024)]
    pub serving_bytes: usize,
    /// Descriptors that the process may open.
    pub descriptors: usize,
}

impl IntakeLimits {
    /// Returns the memory that large requests may fill, in bytes.
    pub(crate) const fn large_bytes(&self) -> usize {
        self.memory_bytes / 4 * 3
    }

    /// Returns the memory that requests of other instances may fill, in bytes. A crowd at one instance
    /// leaves room to the callers of its neighbours.
    pub(crate) const fn peer_bytes(&self) -> usize {
        self.memory_bytes / 2
    }

    /// Returns the number of connections that a class may have. The rest of the descriptors is for
    /// connections that the process itself opens.
    #[must_use]
    pub fn connections(&self, class: connection_class::ConnectionClass) -> usize {
        let files = FILE_DESCRIPTORS.min(self.descriptors / 4);
        let sockets = self.descriptors - files;
        (sockets / class.descriptor_divisor()).max(MIN_CONNECTIONS)
    }
}

/// Times after which clients are cut off whatever room there is.
#[derive(Clone, Copy, Debug)]
pub struct IntakeTimeouts {
    /// Time from the first byte of a head until it is whole.
    pub head: time::Duration,
    /// Time for which a client takes nothing of its answer.
    pub unread: time::Duration,
}
