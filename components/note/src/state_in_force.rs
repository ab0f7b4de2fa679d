//! The state that results from the release notes.

use crate::{
    engine_entry, entry_map, model_entry, note_check, note_entry, refusal_reason, release_note,
    request_class, server_entry, service_entry, state_digest, workspace_entry,
};

/// The state that results from the release notes; equal notes result in equal states.
///
/// Clones share unchanged entries, so that the cost of a note depends only on the entries that it
/// changes.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StateInForce {
    /// Revision of the last applied note.
    pub revision: ids::Revision,
    /// Models by name.
    pub models: entry_map::EntryMap<ids::ModelName, model_entry::ModelEntry>,
    /// Model engines by name.
    pub engines: entry_map::EntryMap<ids::ServerName, engine_entry::EngineEntry>,
    /// Plain services by name.
    pub services: entry_map::EntryMap<ids::ServiceName, service_entry::ServiceEntry>,
    /// Backend servers of plain services by name.
    pub servers: entry_map::EntryMap<ids::ServerName, server_entry::ServerEntry>,
    /// Request classes by name.
    pub classes: entry_map::EntryMap<ids::ClassName, request_class::RequestClass>,
    /// Workspaces by name.
    pub workspaces: entry_map::EntryMap<ids::WorkspaceName, workspace_entry::WorkspaceEntry>,
}

impl StateInForce {
    /// Validates `note` and returns the state that results from it.
    ///
    /// # Errors
    ///
    /// Returns the reason of the first fault; this state then stays in force.
    pub fn apply(
        &self,
        note: &release_note::ReleaseNote,
    ) -> Result<Self, refusal_reason::RefusalReason> {
        let (faults, after) = note_check::validate(self, note);
        match faults.into_iter().next() {
            Some(fault) => Err(fault.reason),
            None => Ok(after),
        }
    }

    /// Returns the state that results from a base note, without validation.
    #[must_use]
    pub fn from_base(note: &release_note::ReleaseNote) -> Self {
        Self::default().apply_unvalidated(note)
    }

    /// Returns this state with another revision.
    ///
    /// Used for a refused note, for example, which advances the revision but changes no entry.
    #[must_use]
    pub fn with_revision(&self, revision: ids::Revision) -> Self {
        Self {
            revision,
            ..self.clone()
        }
    }

    /// Returns the digest of the state, which doesn't depend on the notes that led to it.
    #[must_use]
    pub fn digest(&self) -> state_digest::StateDigest {
        let sums = [
            u128::from(self.revision.0),
            self.models.sum(),
            self.engines.sum(),
            self.services.sum(),
            self.servers.sum(),
            self.classes.sum(),
            self.workspaces.sum(),
        ];
        let bytes = sums.map(u128::to_le_bytes).concat();
        state_digest::StateDigest(xxhash_rust::xxh3::xxh3_128(&bytes))
    }

    /// Returns the state that results from a note, without validation.
    pub(crate) fn apply_unvalidated(&self, note: &release_note::ReleaseNote) -> Self {
        let mut state = self.with_revision(note.revision);
        for entries in [&note.added, &note.changed] {
            insert_all(&mut state.models, &entries.models);
            insert_all(&mut state.engines, &entries.engines);
            insert_all(&mut state.services, &entries.services);
            insert_all(&mut state.servers, &entries.servers);
            insert_all(&mut state.classes, &entries.classes);
            insert_all(&mut state.workspaces, &entries.workspaces);
        }
        remove_all(&mut state.models, &note.withdrawn.models);
        remove_all(&mut state.engines, &note.withdrawn.engines);
        remove_all(&mut state.services, &note.withdrawn.services);
        remove_all(&mut state.servers, &note.withdrawn.servers);
        remove_all(&mut state.classes, &note.withdrawn.classes);
        remove_all(&mut state.workspaces, &note.withdrawn.workspaces);
        state
    }
}

fn insert_all<Entry: note_entry::NoteEntry>(
    map: &mut entry_map::EntryMap<Entry::Name, Entry>,
    entries: &[Entry],
) {
    for entry in entries {
        map.insert(entry.name().clone(), entry.clone());
    }
}

fn remove_all<Entry: note_entry::NoteEntry>(
    map: &mut entry_map::EntryMap<Entry::Name, Entry>,
    names: &[Entry::Name],
) {
    for name in names {
        map.remove(name);
    }
}
