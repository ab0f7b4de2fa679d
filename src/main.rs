//! The router's command line.

mod cli;
mod cmd;
mod command_error;

use std::process;

fn main() -> process::ExitCode {
    let options = match cli::parse(std::env::args()) {
        Ok(options) => options,
        Err(exit) => return exit.report(),
    };
    match options.command.run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            let code = error.exit_code();
            eprintln!("{:?}", miette::Report::new(error));
            process::ExitCode::from(code)
        }
    }
}
