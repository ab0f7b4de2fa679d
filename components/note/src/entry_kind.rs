//! The kinds of entries in a release note.

/// The kinds of entries in a release note, each named like its YAML key.
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
pub enum EntryKind {
    /// Models.
    Models,
    /// Model engines.
    Engines,
    /// Plain services.
    Services,
    /// Backend servers of plain services.
    Servers,
    /// Request classes.
    Classes,
    /// Workspaces.
    Workspaces,
}
