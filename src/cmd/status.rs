//! Prints what is in force.

use std::net;

use tokio::runtime;

use crate::command_error;

/// Print what is in force, on which instances, and the engines' roles and load, as one instance
/// sees it.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusCommand {
    /// admin address of an instance, such as 127.0.0.1:9400
    #[argh(option, arg_name = "address")]
    admin: net::SocketAddr,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl StatusCommand {
    /// Runs the subcommand.
    pub(crate) fn run(self) -> Result<(), command_error::CommandError> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let (state, engines) = runtime.block_on(async {
            let client = admin::AdminClient::new(self.admin);
            let state = client.state().await?;
            let engines = client.engines().await?;
            Ok::<_, admin::AdminError>((state, engines))
        })?;
        if self.json {
            println!(
                "{}",
                serde_json::json!({ "state": state, "engines": engines })
            );
        } else {
            print!("{}", admin::status_text(&state, &engines));
        }
        Ok(())
    }
}
