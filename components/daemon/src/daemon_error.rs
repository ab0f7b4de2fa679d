//! Errors of starting an instance.

use std::{io, net};

/// An error of starting an instance.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DaemonError {
    /// An address can't be listened on.
    #[error("can't listen on {address}")]
    #[diagnostic(help("check that the address belongs to this instance and its port is free"))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// The connections to other instances can't be started.
    #[error("can't start the connections to other instances")]
    Peer(#[from] peer::PeerError),
    /// A thread or its runtime can't be started.
    #[error("can't start the {thread} thread")]
    Thread {
        /// What the thread is for.
        thread: &'static str,
        /// The system's error.
        #[source]
        source: io::Error,
    },
    /// Operators can't be answered.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admin(#[from] admin::AdminError),
}
