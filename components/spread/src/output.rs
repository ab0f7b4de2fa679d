//! What a spreader asks for.

use std::sync;

use crate::message;

/// What a spreader asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a peer.
    Send(ids::InstanceId, message::Message),
    /// Read the notes after a revision from the configuration service.
    ReadService(ids::Revision),
    /// Wait at the configuration service for notes after a revision, in place of earlier calls.
    WatchService(ids::Revision),
    /// A state has come into force.
    InForce(sync::Arc<note::StateInForce>),
    /// A note was refused.
    Refused(ids::Revision, note::RefusalReason),
    /// A peer has another state in force at the same revision: own summary, then the peer's.
    Diverged(ids::InstanceId, message::Summary, message::Summary),
}
