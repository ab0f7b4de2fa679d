//! Buffer for the parts of a split base note.

use std::collections;

use crate::{note_part, release_note};

/// Holds the parts of a split base note until all of them have been received.
///
/// Only the parts of the latest revision are kept.
#[derive(Clone, Debug, Default)]
pub struct PartBuffer {
    revision: ids::Revision,
    count: u32,
    parts: collections::BTreeMap<u32, release_note::ReleaseNote>,
}

impl PartBuffer {
    /// Adds a part and returns the complete base note once no part is missing.
    ///
    /// A part of an older revision than the latest is ignored.
    pub fn insert(
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
        let mut complete = parts.next()?;
        complete.part = None;
        for part in parts {
            complete.added.append(part.added);
            complete.changed.append(part.changed);
        }
        Some(complete)
    }
}
