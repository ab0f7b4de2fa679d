//! Errors at the borders.

/// An error at a border, sorted by what it proves about the work.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BorderError {
    /// No byte of the work left this process.
    #[error("not sent: {detail}")]
    NotSent {
        /// What happened, for the log.
        detail: String,
    },
    /// The far end refused the work before any of it ran.
    #[error("refused: {detail}")]
    Refused {
        /// What happened, for the log.
        detail: String,
    },
    /// The connection broke or went silent after the work was sent.
    #[error("lost after sending: {detail}")]
    Lost {
        /// What happened, for the log.
        detail: String,
    },
    /// The far end doesn't know the request, attempt or handle any more.
    #[error("gone: {detail}")]
    Gone {
        /// What happened, for the log.
        detail: String,
    },
    /// The far end answered something that isn't of the protocol.
    #[error("malformed answer: {detail}")]
    Malformed {
        /// What happened, for the log.
        detail: String,
    },
}

impl BorderError {
    /// Returns whether the error proves that the work didn't run.
    #[must_use]
    pub const fn proves_not_run(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::Refused { .. })
    }
}
