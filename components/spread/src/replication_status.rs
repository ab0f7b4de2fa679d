//! Replication status of release notes, for operators.

use crate::{message, readiness};

/// A release note that this instance refused.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct RefusedNote {
    /// Revision of the note.
    pub revision: ids::Revision,
    /// Reason of the refusal.
    pub reason: note::RefusalReason,
    /// Message text of the reason.
    pub message: String,
}

/// Latest status received from a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
pub struct PeerStatus {
    /// The peer.
    pub instance: ids::InstanceId,
    /// Summary of the state that the peer had in force.
    pub summary: message::Summary,
    /// Number of revisions by which the peer lagged behind this instance.
    pub lag: u64,
    /// Time since the status was received, in milliseconds.
    pub age_ms: u64,
}

/// Replication status of release notes, for operators.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct ReplicationStatus {
    /// Summary of the state that this instance has in force.
    pub summary: message::Summary,
    /// Readiness of this instance.
    pub readiness: readiness::Readiness,
    /// Whether this instance watches the configuration service.
    pub reader: bool,
    /// Number of times that a peer had a different state at the same revision.
    pub divergences: u64,
    /// Notes that this instance refused, oldest first; only the latest are kept.
    pub refused: Vec<RefusedNote>,
    /// Latest status of each peer, in order of their ids.
    pub peers: Vec<PeerStatus>,
}
