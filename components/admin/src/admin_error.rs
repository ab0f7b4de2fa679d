//! Errors of reading back.

use std::{io, net};

/// Errors of reading back.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum AdminError {
    /// The admin address can't be listened on.
    #[error("cannot listen for operators on {address}")]
    #[diagnostic(help("check `listen.admin` in the settings and that no other process uses it"))]
    Listen {
        /// The address.
        address: net::SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The instance didn't answer.
    #[error("no answer from http://{address}{path}")]
    #[diagnostic(help("check that the instance runs and that the address is its `listen.admin`"))]
    NoAnswer {
        /// The admin address.
        address: net::SocketAddr,
        /// What was read.
        path: &'static str,
        /// What the client said.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The instance didn't answer in time.
    #[error("no answer from http://{address}{path} in time")]
    #[diagnostic(help("the instance may be stuck; its callers' address answers `/healthz`"))]
    Timeout {
        /// The admin address.
        address: net::SocketAddr,
        /// What was read.
        path: &'static str,
    },
    /// Something else answers on the address.
    #[error("http://{address}{path} answered {status}")]
    #[diagnostic(help("the address is not the `listen.admin` of an instance"))]
    Status {
        /// The admin address.
        address: net::SocketAddr,
        /// What was read.
        path: &'static str,
        /// The status.
        status: http::StatusCode,
    },
    /// The answer isn't what an instance of this version tells.
    #[error("http://{address}{path} answered something else than expected")]
    #[diagnostic(help("use the `plantainreach` of the version that the instance runs"))]
    Malformed {
        /// The admin address.
        address: net::SocketAddr,
        /// What was read.
        path: &'static str,
        /// What is wrong with it.
        source: serde_json::Error,
    },
}
