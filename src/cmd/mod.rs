//! The subcommands.

mod check;
mod demo;
mod node;
mod serve;
mod status;

pub(crate) use check::CheckCommand;
pub(crate) use demo::DemoCommand;
pub(crate) use node::NodeCommand;
pub(crate) use serve::ServeCommand;
pub(crate) use status::StatusCommand;
