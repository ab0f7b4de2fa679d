//! Errors of reading settings.

use std::path;

use crate::settings_problem;

/// Errors of reading settings.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("cannot read settings file {}", path.display())]
    #[diagnostic(help("check that the file exists and that this user may read it"))]
    Unreadable {
        /// The file.
        path: path::PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file was read and isn't valid.
    #[error("{file} is not valid: {} problem(s)", problems.len())]
    Invalid {
        /// The file.
        file: String,
        /// Every problem found, in the order of the file.
        #[related]
        problems: Vec<settings_problem::SettingsProblem>,
    },
}
