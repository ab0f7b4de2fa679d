//! Errors of a measurement.

/// Errors of a measurement.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The system doesn't tell the usage of this thread or process.
    #[error("can't read the usage from {path}")]
    Usage {
        /// File that was read.
        path: &'static str,
    },
    /// The sample site isn't accepted.
    #[error("the sample site is refused: {0}")]
    Refused(#[from] note::RefusalReason),
}
