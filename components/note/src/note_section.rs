//! The sections of a release note.

/// The sections of a release note, each named like its YAML key.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Serialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NoteSection {
    /// New entries.
    Added,
    /// Entries that replace existing entries of the same name.
    Changed,
    /// Names of entries to remove.
    Withdrawn,
}
