//! Splits a state into parts of a base note and joins the parts again.

use std::sync;

use crate::{
    entry_map, note_entries, note_entry, note_error, note_part, part_buffer, release_note,
    state_in_force,
};

/// Returns the parts of a base note that brings `state` into force.
///
/// The entries of a part have at most `limit` bytes; a larger entry is in a part of its own.
/// The texts are JSON, which is also valid YAML.
///
/// # Errors
///
/// Returns [`note_error::NoteError::Syntax`] when an entry can't be serialized.
pub fn split(
    state: &state_in_force::StateInForce,
    limit: usize,
) -> Result<Vec<sync::Arc<str>>, note_error::NoteError> {
    let mut splitter = StateSplitter::new(limit);
    splitter.add(&state.models, |entries| &mut entries.models)?;
    splitter.add(&state.engines, |entries| &mut entries.engines)?;
    splitter.add(&state.services, |entries| &mut entries.services)?;
    splitter.add(&state.servers, |entries| &mut entries.servers)?;
    splitter.add(&state.classes, |entries| &mut entries.classes)?;
    splitter.add(&state.workspaces, |entries| &mut entries.workspaces)?;
    splitter.finish(state.revision)
}

/// Returns the state from the texts of [`split`], which may be in any order.
///
/// # Errors
///
/// Returns an error when a text can't be parsed or a part is missing.
pub fn join(
    texts: &[sync::Arc<str>],
) -> Result<state_in_force::StateInForce, note_error::NoteError> {
    let mut buffer = part_buffer::PartBuffer::default();
    for text in texts {
        let note: release_note::ReleaseNote = serde_json::from_str(text)
            .map_err(|error| note_error::NoteError::Syntax(error.to_string()))?;
        // A note without a part number is a complete base note.
        let part = note.part.unwrap_or(note_part::NotePart {
            number: 1,
            count: 1,
        });
        if let Some(complete) = buffer.insert(part, note) {
            return Ok(state_in_force::StateInForce::from_base(&complete));
        }
    }
    Err(note_error::NoteError::PartsMissing)
}

/// Distributes the entries of a state over parts up to a size limit.
struct StateSplitter {
    /// Size limit of the entries of a part, in bytes.
    limit: usize,
    /// Size of the entries in the last part, in bytes.
    bytes: usize,
    parts: Vec<note_entries::NoteEntries>,
}

impl StateSplitter {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            bytes: 0,
            parts: vec![note_entries::NoteEntries::default()],
        }
    }

    fn add<Entry: note_entry::NoteEntry>(
        &mut self,
        map: &entry_map::EntryMap<Entry::Name, Entry>,
        list_of: impl Fn(&mut note_entries::NoteEntries) -> &mut Vec<Entry>,
    ) -> Result<(), note_error::NoteError> {
        for entry in map.values() {
            let text = serde_json::to_vec(entry).map_err(serialization_error)?;
            if self.bytes > 0 && self.bytes + text.len() > self.limit {
                self.parts.push(note_entries::NoteEntries::default());
                self.bytes = 0;
            }
            self.bytes += text.len();
            if let Some(part) = self.parts.last_mut() {
                list_of(part).push(Entry::clone(entry));
            }
        }
        Ok(())
    }

    fn finish(self, revision: ids::Revision) -> Result<Vec<sync::Arc<str>>, note_error::NoteError> {
        let count = u32::try_from(self.parts.len()).unwrap_or(u32::MAX);
        let notes =
            self.parts
                .into_iter()
                .zip(1..)
                .map(|(added, number)| release_note::ReleaseNote {
                    revision,
                    base: true,
                    part: Some(note_part::NotePart { number, count }),
                    added,
                    ..Default::default()
                });
        notes
            .map(|note| serde_json::to_string(&note).map(Into::into))
            .collect::<Result<_, _>>()
            .map_err(serialization_error)
    }
}

fn serialization_error(error: serde_json::Error) -> note_error::NoteError {
    note_error::NoteError::Syntax(error.to_string())
}
