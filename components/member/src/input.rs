//! What a membership table takes.

use crate::message;

/// What a membership table takes.
#[derive(Clone, Debug)]
pub enum Input {
    /// The platform's list was read.
    Listed(Vec<border::InstanceEntry>),
    /// A peer sent a message.
    Message(ids::InstanceId, message::Message),
    /// This instance begins to drain.
    DrainBegan,
    /// The requested time has come.
    Wake,
}
