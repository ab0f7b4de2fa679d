//! Identifies a cell: a hash of its region and of what its engines serve.

/// Identifies a cell: a hash of its region and of what its engines serve.
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
pub struct CellId(pub u64);

impl std::fmt::Display for CellId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
