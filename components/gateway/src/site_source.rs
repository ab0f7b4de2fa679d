//! Interface for reading the platform's store.

/// Errors of reading the platform's store.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SourceError {
    /// The store doesn't have the revision or no longer keeps the changes since it; a complete read
    /// is needed.
    #[error("the store no longer keeps the changes since revision {revision}")]
    Compacted {
        /// Revision after which changes were requested.
        revision: u64,
    },
    /// The platform refused the read.
    #[error("the platform refused the read with status {status}")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// No answer arrived in time, or the connection failed.
    #[error("the platform sent no answer: {detail}")]
    Unreachable {
        /// What failed.
        detail: String,
    },
    /// The answer is malformed.
    #[error("cannot decode the platform's answer: {detail}")]
    Malformed {
        /// Error of decoding the answer.
        detail: String,
    },
}

/// Reads the configuration and the list of backend servers from the platform's store.
#[async_trait::async_trait]
pub trait SiteSource: Send + Sync {
    /// Reads the changes after a revision, or the whole state when `after` is `None`.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError::Compacted`] when the store doesn't keep the changes since `after`,
    /// and the other variants when the read fails.
    async fn read(&self, after: Option<u64>) -> Result<relay::ViewUpdate, SourceError>;

    /// Reads all changes of the list of backend servers that the store still keeps. What doesn't show
    /// that the store has kept every change has a span of zero.
    ///
    /// # Errors
    ///
    /// The errors of [`SiteSource::read`].
    async fn history(&self) -> Result<relay::ListHistory, SourceError>;
}
