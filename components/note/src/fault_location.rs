//! Location of a fault in a release note.

use crate::{entry_kind, note_section};

/// Location of a fault in a release note.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct FaultLocation {
    /// Section of the note.
    pub section: note_section::NoteSection,
    /// Kind of the entry.
    pub kind: entry_kind::EntryKind,
    /// Name of the entry.
    pub name: String,
    /// Field of the entry; `None` when the fault concerns the whole entry.
    pub field: Option<&'static str>,
}

impl FaultLocation {
    /// Returns the key path of the fault, such as `added.engines.decode_slots`.
    #[must_use]
    pub fn key(&self) -> String {
        let Self { section, kind, .. } = self;
        match self.field {
            Some(field) => format!("{section}.{kind}.{field}"),
            None => format!("{section}.{kind}"),
        }
    }
}
