//! State of a claim at a witness.

/// State of a claim as recorded by a witness, and the answer to a claim request.
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
pub enum ClaimState {
    /// The witness holds the key for the claiming request.
    Granted,
    /// The witness holds the key for a request without a recorded completion.
    Running,
    /// The call has run.
    Ran,
    /// The call provably did not run; the key may be claimed again.
    NotRun,
    /// Whether the call ran cannot be determined, the witness may not answer for the key, or its
    /// store is full.
    Unknown,
    /// The key is held for a call with another fingerprint.
    Mismatch,
}
