//! What became of a request, as far as it can be proved.

/// What became of a request, as far as it can be proved.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The request ran; the answer says with what result.
    Ran,
    /// The request provably didn't run and may be sent again.
    NotRun,
    /// Whether the request ran can't be known.
    Unknown,
}
