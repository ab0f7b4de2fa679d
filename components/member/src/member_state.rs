//! State of an instance in the membership.

/// State of an instance in the membership.
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
    /// The instance acknowledges probes, or has not been probed yet.
    Alive,
    /// Probes were not acknowledged; the instance may refute the suspicion.
    Suspect,
    /// The instance is draining: it finishes its work and accepts no more.
    Leaving,
    /// The instance did not refute the suspicion in time.
    Dead,
}
