//! A release note.

use crate::{note_entries, note_error, note_names, note_part};

/// A release note: what is added, changed and withdrawn at one revision.
#[derive(
    Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Revision of the note; an incremental note follows the one in force.
    pub revision: ids::Revision,
    /// Whether the note replaces everything before it.
    #[serde(default)]
    pub base: bool,
    /// Which part of a divided base note this is; absent when the note is whole.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<note_part::NotePart>,
    /// Entries that are new.
    #[serde(default)]
    pub added: note_entries::NoteEntries,
    /// Entries that replace those of the same name.
    #[serde(default)]
    pub changed: note_entries::NoteEntries,
    /// Names that are no longer served.
    #[serde(default)]
    pub withdrawn: note_names::NoteNames,
}

impl ReleaseNote {
    /// Reads a note from YAML.
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
