//! Errors of reading a release note.

use crate::refusal_reason;

/// Errors of reading a release note.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum NoteError {
    /// The text is larger than a value of the configuration service may be.
    #[error(
        "release note has {bytes} bytes; at most {} are allowed",
        crate::NOTE_LIMIT_BYTES
    )]
    TooLarge {
        /// Size of the text.
        bytes: usize,
    },
    /// The text isn't a release note.
    #[error("{0}")]
    Syntax(String),
    /// Parts of a divided base note are missing.
    #[error("parts of the divided base note are missing")]
    PartsMissing,
}

impl NoteError {
    /// Returns the reason for which a note with this error is refused.
    #[must_use]
    pub fn into_refusal(self) -> refusal_reason::RefusalReason {
        match self {
            Self::TooLarge { bytes } => refusal_reason::RefusalReason::TooLarge { bytes },
            error => refusal_reason::RefusalReason::Unreadable {
                detail: error.to_string(),
            },
        }
    }
}
