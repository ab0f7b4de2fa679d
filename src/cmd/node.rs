//! Runs an instance on the users' platform.

use crate::command_error;

/// Run an instance on the users' platform, which names the settings file in the environment, until
/// SIGTERM or SIGINT; SIGHUP reads the settings again.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "node")]
pub(crate) struct NodeCommand {}

impl NodeCommand {
    /// Runs the subcommand.
    pub(crate) fn run(self) -> Result<(), command_error::CommandError> {
        Ok(platform::run()?)
    }
}
