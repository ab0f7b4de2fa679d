//! What operators read back about release notes.

use crate::{message, readiness};

/// A release note that this instance refused.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct RefusedNote {
    /// Revision of the note.
    pub revision: ids::Revision,
    /// Why it was refused.
    pub reason: note::RefusalReason,
    /// The reason as a sentence.
    pub message: String,
}

/// What a peer last told about itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct PeerStatus {
    /// The peer.
    pub instance: ids::InstanceId,
    /// What the peer had in force.
    pub summary: message::Summary,
    /// Revisions by which the peer was behind this instance.
    pub lag: u64,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
}

/// What operators read back about release notes.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct ReplicationStatus {
    /// What this instance has in force.
    pub summary: message::Summary,
    /// Whether this instance may serve, and what it waits for.
    pub readiness: readiness::Readiness,
    /// Whether this instance watches the configuration service.
    pub reader: bool,
    /// Times that a peer had another state at the same revision.
    pub divergences: u64,
    /// Notes refused here, oldest first; only the latest are kept.
    pub refused: Vec<RefusedNote>,
    /// What peers last told, in order of their ids.
    pub peers: Vec<PeerStatus>,
}
