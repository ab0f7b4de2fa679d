//! How far the work under a lease has come.

/// How far the work under a lease has come.
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
    /// Granted; prefill hasn't started.
    Granted,
    /// The prompt is being read.
    Prefill,
    /// The KV cache moves between the engines.
    Transfer,
    /// Tokens are generated.
    Decode,
    /// The work has ended and nothing is held.
    Released,
    /// The decode engine or the transfer failed.
    Failed,
}
