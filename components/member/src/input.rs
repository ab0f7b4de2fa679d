//! Inputs of a membership table.

use crate::message;

/// Inputs of a membership table.
#[derive(Clone, Debug)]
pub enum Input {
    /// The platform's instance list was read.
    Listed(Vec<border::InstanceEntry>),
    /// A peer sent a message.
    Message(ids::InstanceId, message::Message),
    /// This instance started to drain.
    DrainStarted,
    /// The time returned by [`crate::MemberTable::next_wake`] has been reached.
    Wake,
}
