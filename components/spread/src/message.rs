//! Messages between spreaders.

use std::sync;

/// What an instance has in force.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, serde::Serialize)]
pub struct Summary {
    /// Revision in force.
    pub revision: ids::Revision,
    /// Digest of the state in force.
    pub digest: note::NoteDigest,
}

impl Summary {
    /// Returns the summary of a state.
    #[must_use]
    pub fn of(state: &note::StateInForce) -> Self {
        Self {
            revision: state.revision,
            digest: state.digest(),
        }
    }
}

/// What an instance has in force, and whether it serves with it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct ReplicaStatus {
    /// What is in force.
    pub summary: Summary,
    /// Whether the instance serves.
    pub ready: bool,
}

/// A note as it is kept and passed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoggedNote {
    /// Revision under which the service serves the note.
    pub revision: ids::Revision,
    /// Text of the note; empty when it was refused for its size.
    pub text: sync::Arc<str>,
}

/// One part of a whole state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatePart {
    /// What the whole state is.
    pub summary: Summary,
    /// Number of the part, from one.
    pub number: u32,
    /// Number of parts.
    pub count: u32,
    /// Text of the part.
    pub text: sync::Arc<str>,
}

/// A message between spreaders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Tells what the sender has in force and asks for an answer, with notes that are newer.
    StatusRequest(ReplicaStatus),
    /// Tells what the sender has in force.
    StatusReply(ReplicaStatus),
    /// Tells what the sender has in force and carries notes, oldest first.
    Notes(ReplicaStatus, Vec<LoggedNote>),
    /// Asks for one part of the state with this summary.
    FetchPart(Summary, u32),
    /// Carries one part of a state.
    Part(StatePart),
}
