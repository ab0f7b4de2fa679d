//! Messages between spreaders.

use std::sync;

/// What an instance has in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Summary {
    /// Revision in force.
    pub revision: ids::Revision,
    /// Digest of the state in force.
    pub digest: note::NoteDigest,
}

/// A message between spreaders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Tells what the sender has in force and asks for what is newer.
    Summary(Summary),
    /// Carries the texts of notes, oldest first.
    Notes(Summary, Vec<sync::Arc<str>>),
}
