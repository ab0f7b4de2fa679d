//! Runs an instance.

use std::path;

use tokio::{runtime, signal::unix};

use crate::command_error;

/// Run an instance until it is told to shut down; SIGTERM and SIGINT drain it, a second one ends
/// it at once.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "serve")]
pub(crate) struct ServeCommand {
    /// settings of the instance, in YAML
    #[argh(option, arg_name = "file")]
    settings: path::PathBuf,
    /// log level in place of that of the settings: error, warn, info, debug or trace
    #[argh(option, arg_name = "level")]
    log_level: Option<settings::LogLevel>,
    /// log format in place of that of the settings: text or json
    #[argh(option, arg_name = "format")]
    log_format: Option<settings::LogFormat>,
}

impl ServeCommand {
    /// Runs the subcommand.
    pub(crate) fn run(self) -> Result<(), command_error::CommandError> {
        let mut settings = settings::InstanceSettings::from_file(&self.settings)?;
        settings.log.level = self.log_level.unwrap_or(settings.log.level);
        settings.log.format = self.log_format.unwrap_or(settings.log.format);
        let instance = settings.instance.id;
        let _logs = logs::start(settings.log, &settings.tracing, Some(instance))?;
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(serve(settings))
    }
}

async fn serve(settings: settings::InstanceSettings) -> Result<(), command_error::CommandError> {
    let mut signals = ShutdownSignals::install()?;
    let options = daemon::DaemonOptions::builder().build();
    let instance = settings.instance.id;
    let handle = daemon::Daemon::start(settings, &options)?;
    tracing::info!(
        %instance,
        version = env!("CARGO_PKG_VERSION"),
        callers = %handle.callers(),
        peers = %handle.peers(),
        admin = %handle.admin(),
        "instance started"
    );
    signals.next().await;
    let drained = tokio::select! {
        drained = handle.drain() => drained,
        () = signals.next() => return Err(command_error::CommandError::Interrupted),
    };
    if drained {
        Ok(())
    } else {
        Err(command_error::CommandError::CutOff)
    }
}

/// The signals that ask a process to shut down.
struct ShutdownSignals {
    terminate: unix::Signal,
    interrupt: unix::Signal,
}

impl ShutdownSignals {
    fn install() -> Result<Self, std::io::Error> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            interrupt: unix::signal(unix::SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
