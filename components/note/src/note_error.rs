//! Errors when parsing, serializing or joining release notes.

use crate::refusal_reason;

/// Errors when parsing, serializing or joining release notes.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum NoteError {
    /// The text exceeds the size limit of a value of the configuration service.
    #[error(
        "release note has {bytes} bytes; at most {} are allowed",
        crate::NOTE_LIMIT_BYTES
    )]
    TooLarge {
        /// Size of the text, in bytes.
        bytes: usize,
    },
    /// The text isn't a release note, or a note can't be serialized.
    #[error("{0}")]
    Syntax(String),
    /// Parts of a split base note are missing.
    #[error("parts of the split base note are missing")]
    PartsMissing,
}

impl NoteError {
    /// Converts the error to the reason of the refusal.
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
