//! Release notes in force and refused.

/// Release notes in force and refused.
#[derive(
    Clone, Debug, Default, Eq, PartialEq, bon::Builder, serde::Deserialize, serde::Serialize,
)]
#[builder(on(String, into))]
pub struct NoteReport {
    /// Revision in force.
    pub revision: ids::Revision,
    /// Digest of the state in force; equal on every instance at one revision.
    pub digest: String,
    /// Whether this instance watches the configuration service.
    pub reader: bool,
    /// Times that a peer had another state at the same revision.
    pub divergences: u64,
    /// Notes refused, oldest first; only the latest are kept.
    pub refused: Vec<RefusedNote>,
    /// Instances that last told an older revision.
    pub lagging: Vec<LaggingInstance>,
}

/// A release note that this instance refused.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RefusedNote {
    /// Revision of the note.
    pub revision: ids::Revision,
    /// Why it was refused, with the line where there is one.
    pub reason: String,
}

/// An instance that last told an older revision.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LaggingInstance {
    /// The instance.
    pub instance: ids::InstanceId,
    /// Revision it had in force.
    pub revision: ids::Revision,
    /// Revisions by which it was behind.
    pub lag: u64,
    /// Age of the figures, in milliseconds.
    pub age_ms: u64,
}
