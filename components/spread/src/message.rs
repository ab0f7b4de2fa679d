//! Messages between the replicators of two instances.

use std::sync;

/// Revision and digest of a state in force, ordered by revision first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
pub struct Summary {
    /// Revision in force.
    pub revision: ids::Revision,
    /// Digest of the state in force.
    pub digest: note::StateDigest,
}

impl Summary {
    /// Returns the summary of `state`.
    #[must_use]
    pub fn of(state: &note::StateInForce) -> Self {
        Self {
            revision: state.revision,
            digest: state.digest(),
        }
    }
}

/// Summary of the state that an instance has in force, with its readiness.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct ReplicaStatus {
    /// Summary of the state in force.
    pub summary: Summary,
    /// Whether the instance is ready to serve callers.
    pub ready: bool,
}

/// A release note as stored in the log and sent to peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoggedNote {
    /// Revision under which the configuration service serves the note.
    pub revision: ids::Revision,
    /// YAML text of the note; empty when the note exceeds the size limit and is refused.
    pub text: sync::Arc<str>,
}

/// One part of a state transfer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatePart {
    /// Summary of the whole state.
    pub summary: Summary,
    /// Number of the part, starting at one.
    pub number: u32,
    /// Total number of parts.
    pub count: u32,
    /// JSON text of this part: one part of the base note that brings the whole state into force.
    pub text: sync::Arc<str>,
}

/// A message between the replicators of two instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Sends the sender's status, and requests the receiver's status and the notes that the sender
    /// lacks.
    StatusRequest(ReplicaStatus),
    /// Replies with the sender's status.
    StatusReply(ReplicaStatus),
    /// Sends the sender's status with notes, oldest first.
    Notes(ReplicaStatus, Vec<LoggedNote>),
    /// Requests one part, by its number, of the state with this summary.
    FetchPart(Summary, u32),
    /// Sends one part of a state.
    Part(StatePart),
}
