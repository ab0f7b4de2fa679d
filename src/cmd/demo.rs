//! Runs a small site in this process.

use tokio::runtime;

use crate::command_error;

/// Run a small site on loopback in this process, with stand-ins for engines, services and the
/// platform, kill an instance and an engine midway, and check what must always hold.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoCommand {
    /// seed of the requests and faults (default: 1)
    #[argh(option, default = "1", arg_name = "number")]
    seed: u64,
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
    /// log level: error, warn, info, debug or trace (default: error)
    #[argh(option, arg_name = "level", default = "settings::LogLevel::Error")]
    log_level: settings::LogLevel,
}

impl DemoCommand {
    /// Runs the subcommand.
    pub(crate) fn run(self) -> Result<(), command_error::CommandError> {
        let log = settings::LogSettings {
            level: self.log_level,
            format: settings::LogFormat::Text,
        };
        let _logs = logs::start(log, &settings::TracingSettings::default(), None)?;
        let runtime = runtime::Builder::new_multi_thread().enable_all().build()?;
        let options = demo::DemoOptions::builder().seed(self.seed).build();
        let report = runtime.block_on(demo::run(options))?;
        println!("{}", demo::report_table(&report));
        if self.json {
            println!("{}", report.json());
        }
        let broken = report.broken_promises();
        if broken.is_empty() {
            Ok(())
        } else {
            Err(command_error::CommandError::PromisesBroken { broken })
        }
    }
}
