//! Log of recent release notes, for peers that lag.

use std::{collections, sync};

use crate::message;

/// Maximum total size of the stored notes, in bytes.
const LOG_LIMIT_BYTES: usize = 2_000_000;

/// Maximum total size of the notes in one message, in bytes, unless a single note is larger.
pub const NOTES_LIMIT_BYTES: usize = 64_000;

/// Log of the latest release notes, oldest first, with consecutive revisions.
#[derive(Debug, Default)]
pub(crate) struct NoteLog {
    notes: collections::VecDeque<message::LoggedNote>,
    bytes: usize,
}

impl NoteLog {
    /// Appends a note and drops the oldest notes while the log exceeds the size limit.
    ///
    /// A note that doesn't follow the last one clears the log first.
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

    /// Removes all notes.
    pub(crate) fn clear(&mut self) {
        self.notes.clear();
        self.bytes = 0;
    }

    /// Returns the notes after `revision`, as many as fit into one message.
    ///
    /// The result is empty when the log no longer contains the next revision.
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
                // An empty text counts as one byte, so that only the first note may exceed the limit.
                bytes += note.text.len().max(1);
                fits
            })
            .cloned()
            .collect()
    }
}

/// Converts a value of the configuration service; omits a text above the size limit.
pub(crate) fn to_logged_note(value: &border::NoteValue) -> message::LoggedNote {
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
