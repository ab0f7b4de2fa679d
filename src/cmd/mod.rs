//! The subcommands.

mod check;
mod demo;
mod serve;
mod status;

pub(crate) use check::CheckCommand;
pub(crate) use demo::DemoCommand;
pub(crate) use serve::ServeCommand;
pub(crate) use status::StatusCommand;
