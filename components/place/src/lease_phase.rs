//! The phase of the work under a lease.

/// The phase of the work under a lease, in the order of progress.
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
pub enum LeasePhase {
    /// Granted; prefill has not started.
    Granted,
    /// Prefill is running.
    Prefill,
    /// The KV cache is being transferred to the decode engine.
    Transfer,
    /// Tokens are being generated.
    Decode,
    /// The work has ended and holds no engine memory.
    Released,
    /// The attempt failed, or its placement ended before prefill.
    Failed,
}
