//! Reads the command line.

use std::process;

use argh::FromArgs as _;

use crate::{cmd, command_error};

/// Exit code of a wrong command line, settings file or release note.
pub(crate) const WRONG_INPUT: u8 = 2;

/// Routes language-model requests to separate prefill and decode engines, and calls to plain
/// services beside them.
#[derive(argh::FromArgs)]
pub(crate) struct TopOptions {
    /// print the version and exit
    #[argh(switch)]
    pub(crate) version: bool,
    #[argh(subcommand)]
    pub(crate) command: Option<Command>,
}

/// A command line that names a subcommand.
pub(crate) struct CommandLine {
    pub(crate) command: Command,
}

/// The subcommands.
#[derive(argh::FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Serve(cmd::ServeCommand),
    Node(cmd::NodeCommand),
    Check(cmd::CheckCommand),
    Status(cmd::StatusCommand),
    Demo(cmd::DemoCommand),
}

impl Command {
    /// Runs the subcommand.
    pub(crate) fn run(self) -> Result<(), command_error::CommandError> {
        match self {
            Self::Serve(command) => command.run(),
            Self::Node(command) => command.run(),
            Self::Check(command) => command.run(),
            Self::Status(command) => command.run(),
            Self::Demo(command) => command.run(),
        }
    }
}

/// An end of the program before any subcommand runs.
pub(crate) struct EarlyExit {
    text: String,
    wrong: bool,
}

impl EarlyExit {
    /// Prints the text and returns the exit code.
    pub(crate) fn report(self) -> process::ExitCode {
        if self.wrong {
            eprintln!("{}", self.text);
            return process::ExitCode::from(WRONG_INPUT);
        }
        println!("{}", self.text);
        process::ExitCode::SUCCESS
    }
}

/// Reads the command line, the program's name first.
pub(crate) fn parse(arguments: impl Iterator<Item = String>) -> Result<CommandLine, EarlyExit> {
    let arguments: Vec<String> = arguments.collect();
    let texts: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    let options = TopOptions::from_args(&["plantainreach"], &texts).map_err(|exit| EarlyExit {
        text: exit.output.trim_end().to_owned(),
        wrong: exit.status.is_err(),
    })?;
    if options.version {
        return Err(EarlyExit {
            text: format!("plantainreach {}", env!("CARGO_PKG_VERSION")),
            wrong: false,
        });
    }
    let command = options.command.ok_or_else(|| EarlyExit {
        text: "a subcommand is missing; run `plantainreach --help`".to_owned(),
        wrong: true,
    })?;
    Ok(CommandLine { command })
}
