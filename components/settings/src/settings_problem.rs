//! One problem of a settings file.

use std::sync;

/// One problem of a settings file, with its place and the way to mend it.
#[derive(Clone, Debug, thiserror::Error, miette::Diagnostic)]
#[error("{file}:{line}:{column}: {key}: {message}")]
pub struct SettingsProblem {
    /// The file.
    pub file: String,
    /// Line in the file, from 1.
    pub line: u64,
    /// Column in the line, from 1, in characters.
    pub column: u64,
    /// Key, with the sections it stands in, joined by dots.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// How to mend it.
    #[help]
    pub fix: String,
    #[source_code]
    pub(crate) source_code: sync::Arc<miette::NamedSource<String>>,
    #[label("here")]
    pub(crate) span: miette::SourceSpan,
}
