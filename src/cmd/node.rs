//! Runs an instance on the users' platform.

use crate::command_error;

/// Run an instance on the users' platform until SIGTERM or SIGINT; PLANTAINREACH_CONFIG names the
/// settings file, and SIGHUP reads it again.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "node")]
pub(crate) struct NodeCommand {
    /// read the settings, tell what is wrong with them and exit
    #[argh(switch)]
    check: bool,
}

impl NodeCommand {
    /// Runs the subcommand.
    pub(crate) fn run(self) -> Result<(), command_error::CommandError> {
        if self.check {
            platform::read_settings()?;
        } else {
            platform::run()?;
        }
        Ok(())
    }
}
