//! What a spreader takes.

use std::sync;

use crate::message;

/// What a spreader takes.
#[derive(Clone, Debug)]
pub enum Input {
    /// The configuration service answered a read or a watch; `None` when it failed.
    ServiceAnswered(Option<Vec<border::NoteValue>>),
    /// A peer sent a message.
    Message(ids::InstanceId, message::Message),
    /// The membership has changed.
    View(sync::Arc<member::MemberView>),
    /// The requested time has come.
    Wake,
}
