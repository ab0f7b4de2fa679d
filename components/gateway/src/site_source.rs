//! The border to what the platform publishes.

/// Errors of reading what the platform publishes.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SourceError {
    /// The changes since the revision aren't kept any more; a complete read is needed.
    #[error("the changes since revision {revision} are no longer kept")]
    Compacted {
        /// The revision.
        revision: u64,
    },
    /// The platform refused the read.
    #[error("the platform refused the read with status {status}")]
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// No answer came in time, or the connection broke.
    #[error("the platform gave no answer: {detail}")]
    Unreachable {
        /// What failed.
        detail: String,
    },
    /// What came is no answer.
    #[error("the platform's answer can't be read: {detail}")]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}

/// Reads what the platform publishes.
#[async_trait::async_trait]
pub trait SiteSource: Send + Sync {
    /// Reads the changes after a revision, or everything.
    ///
    /// # Errors
    ///
    /// Returns [`SourceError::Compacted`] when the changes aren't kept any more, and the other
    /// variants when the platform can't be read.
    async fn read(&self, after: Option<u64>) -> Result<relay::ViewUpdate, SourceError>;
}
