//! A release note, which changes the configuration of all instances.

use crate::{note_entries, note_error, note_names, note_part};

/// A release note: the entries that are added, changed and withdrawn at one revision.
#[derive(
    Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Revision of the note; for an incremental note, the one after the revision in force.
    pub revision: ids::Revision,
    /// Whether the note replaces the whole state instead of changing it incrementally.
    #[serde(default)]
    pub base: bool,
    /// Part number of a split base note; absent when the note is complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<note_part::NotePart>,
    /// New entries.
    #[serde(default)]
    pub added: note_entries::NoteEntries,
    /// Entries that replace existing entries of the same name.
    #[serde(default)]
    pub changed: note_entries::NoteEntries,
    /// Names of entries to remove.
    #[serde(default)]
    pub withdrawn: note_names::NoteNames,
}

impl ReleaseNote {
    /// Parses a note from YAML.
    ///
    /// # Errors
    ///
    /// Returns [`note_error::NoteError`] when the text is too large or isn't a release note.
    pub fn from_yaml(text: &str) -> Result<Self, note_error::NoteError> {
        if text.len() > crate::NOTE_LIMIT_BYTES {
            return Err(note_error::NoteError::TooLarge { bytes: text.len() });
        }
        serde_saphyr::from_str(text)
            .map_err(|error| note_error::NoteError::Syntax(error.to_string()))
    }
}
