//! Errors of the connections between instances.

use std::{io, net};

/// Errors of the connections between instances.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum PeerError {
    /// The address can't be listened on.
    #[error("cannot listen for other instances on {address}")]
    #[diagnostic(help("check `listen.peers` in the settings and that no other process uses it"))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A hub was started outside a tokio runtime.
    #[error("a hub needs a tokio runtime to run on")]
    NoRuntime(#[from] tokio::runtime::TryCurrentError),
}
