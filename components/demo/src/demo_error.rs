//! Errors of the demo.

use std::io;

/// An error of the demo itself; broken promises are in the report.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DemoError {
    /// A stand-in can't be started.
    #[error("can't start the stand-ins")]
    Stand(#[from] io::Error),
    /// An instance can't be started.
    #[error("can't start an instance")]
    Instance(#[from] daemon::DaemonError),
    /// The instances didn't get ready.
    #[error("the instances didn't get ready within {seconds} s")]
    NotReady {
        /// Time that was waited, in seconds.
        seconds: u64,
    },
}
