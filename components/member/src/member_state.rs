//! What is believed of an instance.

/// What is believed of an instance.
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
pub enum MemberState {
    /// Heartbeats arrive.
    Alive,
    /// Heartbeats are missing; the instance may refute.
    Suspect,
    /// The instance finishes its work and takes no more.
    Leaving,
    /// The instance is gone.
    Dead,
}
