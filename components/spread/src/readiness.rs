//! Whether an instance may serve, and what it waits for.

/// Whether an instance may serve, and what it waits for.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Serialize,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Readiness {
    /// The platform's list of instances has not been read.
    WaitingForList,
    /// The list names other instances, and too few of them have answered.
    WaitingForPeers,
    /// No release note is in force, or a peer has told of a later one.
    WaitingForNotes,
    /// The instance may serve.
    Ready,
}
