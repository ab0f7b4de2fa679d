//! The notes that an instance keeps for peers that lag.

use std::{collections, sync};

use crate::message;

/// Bytes of notes that are kept.
const LOG_LIMIT_BYTES: usize = 2_000_000;

/// Bytes of notes that one message carries, unless a single note is larger.
pub const NOTES_LIMIT_BYTES: usize = 64_000;

/// The last notes, oldest first, without a gap.
#[derive(Debug, Default)]
pub(crate) struct NoteLog {
    notes: collections::VecDeque<message::LoggedNote>,
    bytes: usize,
}

impl NoteLog {
    /// Appends a note; a gap before it empties the log first.
    pub(crate) fn push(&mut self, note: message::LoggedNote) {
        let follows = |last: &message::LoggedNote| last.revision.next() == note.revision;
        if !self.notes.back().is_some_and(follows) {
            self.clear();
        }
        self.bytes += note.text.len();
        self.notes.push_back(note);
        while self.bytes > LOG_LIMIT_BYTES {
            let Some(oldest) = self.notes.pop_front() else {
                break;
            };
            self.bytes -= oldest.text.len();
        }
    }

    /// Forgets all notes.
    pub(crate) fn clear(&mut self) {
        self.notes.clear();
        self.bytes = 0;
    }

    /// Returns the notes that follow `revision`, as many as one message carries.
    ///
    /// The result is empty when the log doesn't reach back so far.
    pub(crate) fn after(&self, revision: ids::Revision) -> Vec<message::LoggedNote> {
        let Some(first) = self.notes.front() else {
            return Vec::new();
        };
        if first.revision > revision.next() {
            return Vec::new();
        }
        let skipped = revision.0 + 1 - first.revision.0;
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let mut bytes = 0;
        self.notes
            .iter()
            .skip(skipped)
            .take_while(|note| {
                let fits = bytes == 0 || bytes + note.text.len() <= NOTES_LIMIT_BYTES;
                bytes += note.text.len().max(1);
                fits
            })
            .cloned()
            .collect()
    }
}

/// Makes a note to keep from the value of the service.
pub(crate) fn logged(value: &border::NoteValue) -> message::LoggedNote {
    let text = if value.text.len() > note::NOTE_LIMIT_BYTES {
        sync::Arc::from("")
    } else {
        sync::Arc::from(value.text.as_str())
    };
    message::LoggedNote {
        revision: value.revision,
        text,
    }
}
