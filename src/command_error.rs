//! Errors of the subcommands and their exit codes.

use std::{io, path};

use crate::cli;

/// Exit code of work that failed.
const WORK_FAILED: u8 = 1;

/// Errors of the subcommands.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub(crate) enum CommandError {
    /// The settings can't be read or aren't valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] settings::SettingsError),
    /// Logs can't be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Logs(#[from] logs::LogError),
    /// The instance can't be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Daemon(#[from] daemon::DaemonError),
    /// An instance can't be read back from.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Admin(#[from] admin::AdminError),
    /// The instance can't run on the platform.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Platform(#[from] platform::PlatformError),
    /// The demo can't be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Demo(#[from] demo::DemoError),
    /// A runtime or signal handler can't be started.
    #[error("the system refused a thread or a signal handler")]
    System(#[from] io::Error),
    /// A file to check can't be read.
    #[error("cannot read {}", path.display())]
    #[diagnostic(help("check that the file exists and that this user may read it"))]
    Unreadable {
        /// The file.
        path: path::PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// Files that were checked aren't valid; their problems were printed.
    #[error("{wrong} of {checked} file(s) are not valid")]
    FilesWrong {
        /// Files that aren't valid.
        wrong: usize,
        /// Files that were checked.
        checked: usize,
    },
    /// Nothing was given to check.
    #[error("no file to check")]
    #[diagnostic(help("name settings files or release notes, or ask for a schema by `--schema`"))]
    NothingToCheck,
    /// A second signal ended the instance before its requests were finished.
    #[error("ended by a second signal with requests in flight")]
    Interrupted,
    /// Requests were cut off at the end of the time to drain.
    #[error("requests were cut off at the end of the time to drain")]
    #[diagnostic(help("raise `drain.timeout_ms` in the settings if the requests are well"))]
    CutOff,
    /// The demo broke promises; they were printed.
    #[error("{} promise(s) broken: {}", broken.len(), broken.join("; "))]
    PromisesBroken {
        /// The promises.
        broken: Vec<&'static str>,
    },
}

impl CommandError {
    /// Returns the exit code: 2 for wrong input, 1 for work that failed.
    pub(crate) const fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_)
            | Self::Platform(
                platform::PlatformError::NoSettings { .. }
                | platform::PlatformError::Unreadable { .. }
                | platform::PlatformError::Invalid { .. },
            )
            | Self::Unreadable { .. }
            | Self::FilesWrong { .. }
            | Self::NothingToCheck => cli::WRONG_INPUT,
            _ => WORK_FAILED,
        }
    }
}
