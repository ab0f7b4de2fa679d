//! Where in a note a fault is.

use crate::{entry_kind, note_section};

/// Where in a note a fault is.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct FaultPlace {
    /// Section of the note.
    pub section: note_section::NoteSection,
    /// Kind of the entry.
    pub kind: entry_kind::EntryKind,
    /// Name of the entry.
    pub name: String,
    /// Field of the entry, when one is at fault.
    pub field: Option<&'static str>,
}

impl FaultPlace {
    /// Returns the key that leads to the fault, such as `added.engines.decode_slots`.
    #[must_use]
    pub fn key(&self) -> String {
        let Self { section, kind, .. } = self;
        match self.field {
            Some(field) => format!("{section}.{kind}.{field}"),
            None => format!("{section}.{kind}"),
        }
    }
}
