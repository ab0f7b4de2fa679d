//! Readiness of an instance.

/// Readiness of an instance to serve callers, or the condition that it waits for.
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
    /// The platform's instance list has not been read yet.
    WaitingForList,
    /// The list contains other instances, and too few of them have sent their status.
    WaitingForPeers,
    /// No release note is in force, or a peer has reported a later revision.
    WaitingForNotes,
    /// The instance may serve callers.
    Ready,
}
