//! Position of a view in the history of the platform's store.

/// Position of a view in the history of the platform's store, ordered by era, then by revision.
///
/// A store that is restored from a copy loses its latest revisions and assigns them again, so
/// revisions are comparable only within one era.
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
)]
pub struct ViewPosition {
    /// Era of the store, which increases whenever the store is restored from a copy; 0 if no answer
    /// has named one.
    #[serde(default)]
    pub era: u64,
    /// Revision of the store up to which the view includes all changes.
    pub revision: u64,
}

impl ViewPosition {
    /// Creates a position.
    #[must_use]
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}
