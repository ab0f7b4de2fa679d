//! Outputs of the release note replicator.

use std::sync;

use crate::message;

/// Outputs of the release note replicator.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a peer.
    Send(ids::InstanceId, message::Message),
    /// Read the release notes after this revision from the configuration service.
    ReadService(ids::Revision),
    /// Watch the configuration service for release notes after this revision; replaces an
    /// earlier read or watch in flight.
    WatchService(ids::Revision),
    /// A state has come into force.
    InForce(sync::Arc<note::StateInForce>),
    /// A release note was refused.
    Refused(ids::Revision, note::RefusalReason),
    /// A peer has a different state in force at the same revision: own summary, then the peer's.
    Diverged(ids::InstanceId, message::Summary, message::Summary),
}
