//! Inputs of the release note replicator.

use std::sync;

use crate::message;

/// Inputs of the release note replicator.
#[derive(Clone, Debug)]
pub enum Input {
    /// The configuration service responded to a read or a watch; `None` when the call failed.
    ServiceResponded(Option<Vec<border::NoteValue>>),
    /// A peer sent a message.
    Message(ids::InstanceId, message::Message),
    /// The membership view has changed.
    View(sync::Arc<member::MemberView>),
    /// The time returned by [`crate::NoteReplicator::next_wake`] has been reached.
    Wake,
}
