//! Reasons why a call has no answer from a backend server.

/// Reason why a call has no answer from a backend server.
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
    /// No backend server of the service accepts new calls, or the reserved server no longer accepts
    /// calls and no other server has capacity.
    NoServer,
    /// The call exceeds its workspace's limit of calls in flight, the service's queue is full, or
    /// the expected wait exceeds half of the call's time.
    QueueFull,
    /// The call's deadline has passed, or the call was still queued after half of its time.
    DeadlinePassed,
    /// The last attempt failed without an answer from the backend server and is not retried.
    ServerLost,
    /// A call with the same key is running.
    KeyInUse,
    /// A call with the same key has run or may have run.
    KeyUsed,
    /// The key was used for another call.
    KeyMismatch,
    /// Whether the key was used cannot be determined now.
    KeyUncertain,
    /// This instance's membership view is stale or partitioned.
    ViewStale,
}
