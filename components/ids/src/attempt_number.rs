//! Counts the attempts of one request, from zero.

/// Counts the attempts of one request, from zero.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
    schemars::JsonSchema,
)]
#[serde(transparent)]
pub struct AttemptNumber(pub u32);

impl std::fmt::Display for AttemptNumber {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl AttemptNumber {
    /// Returns the number of the following attempt.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
