//! The sections of a note.

/// The sections of a note, named as their keys.
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
    /// Entries that are new.
    Added,
    /// Entries that replace those of the same name.
    Changed,
    /// Names that are no longer served.
    Withdrawn,
}
