//! Collects the parts of divided base notes.

use std::collections;

use crate::{note_part, release_note};

/// Collects the parts of a divided base note until it is whole.
///
/// Only the parts of the latest revision are kept.
#[derive(Clone, Debug, Default)]
pub struct PartBuffer {
    revision: ids::Revision,
    count: u32,
    parts: collections::BTreeMap<u32, release_note::ReleaseNote>,
}

impl PartBuffer {
    /// Takes a part and returns the whole base note when this was the last one missing.
    pub fn take(
        &mut self,
        part: note_part::NotePart,
        note: release_note::ReleaseNote,
    ) -> Option<release_note::ReleaseNote> {
        if note.revision < self.revision {
            return None;
        }
        if note.revision > self.revision || part.count != self.count {
            self.parts.clear();
            self.revision = note.revision;
            self.count = part.count;
        }
        self.parts.insert(part.number, note);
        if self.parts.len() < usize::try_from(self.count).unwrap_or(usize::MAX) {
            return None;
        }
        let mut parts = std::mem::take(&mut self.parts).into_values();
        let mut whole = parts.next()?;
        whole.part = None;
        for part in parts {
            whole.added.append(part.added);
            whole.changed.append(part.changed);
        }
        Some(whole)
    }
}
