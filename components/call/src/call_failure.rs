//! Why a call has no answer of a backend server.

/// Why a call has no answer of a backend server.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum CallFailure {
    /// No backend server of the service can take the call.
    NoServer,
    /// The queue of the workspace or service is full.
    QueueFull,
    /// The time to answer has passed.
    DeadlinePassed,
    /// The backend server or the connection to it was lost.
    ServerLost,
    /// A call with the same key is running.
    KeyInUse,
    /// A call with the same key has run or may have run.
    KeyUsed,
    /// The key was used for another call.
    KeyMismatch,
    /// Whether the key was used can't be known now.
    KeyUncertain,
    /// This instance's view of its peers is too old to act on.
    ViewStale,
}
