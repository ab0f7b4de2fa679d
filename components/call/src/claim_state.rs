//! What a witness answers on a claim.

/// What a witness holds of a key, or answers on a claim.
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
    /// The witness holds the key for the asking request.
    Granted,
    /// The witness holds the key for a request whose end it doesn't know.
    Running,
    /// The call has run.
    Ran,
    /// The call provably didn't run; the key may be claimed again.
    NotRun,
    /// Whether the call ran can't be known, or the witness can't speak for the key.
    Unknown,
    /// The key is held for a call of another fingerprint.
    Mismatch,
}
