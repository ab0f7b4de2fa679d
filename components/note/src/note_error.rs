//! Errors of reading a release note.

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
}
