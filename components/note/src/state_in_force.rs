//! The state that the release notes fold into.

use std::collections::BTreeMap;

use crate::{
    engine_entry, model_entry, note_digest, refusal_reason, release_note, request_class,
    server_entry, service_entry, workspace_entry,
};

/// The state that the release notes fold into; equal revisions have equal states.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct StateInForce {
    /// Revision of the last note folded in.
    pub revision: ids::Revision,
    /// Models by name.
    pub models: BTreeMap<ids::ModelName, model_entry::ModelEntry>,
    /// Model engines by name.
    pub engines: BTreeMap<ids::ServerName, engine_entry::EngineEntry>,
    /// Plain services by name.
    pub services: BTreeMap<ids::ServiceName, service_entry::ServiceEntry>,
    /// Backend servers of plain services by name.
    pub servers: BTreeMap<ids::ServerName, server_entry::ServerEntry>,
    /// Request classes by name.
    pub classes: BTreeMap<ids::ClassName, request_class::RequestClass>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<ids::WorkspaceName, workspace_entry::WorkspaceEntry>,
}

impl StateInForce {
    /// Folds `note` into this state.
    ///
    /// # Errors
    ///
    /// Returns the reason when the note is refused; this state stays in force.
    pub fn apply(
        &self,
        note: &release_note::ReleaseNote,
    ) -> Result<Self, refusal_reason::RefusalReason> {
        let mut state = if note.base {
            Self::default()
        } else {
            self.clone()
        };
        if !note.base && note.revision != self.revision.next() {
            return Err(refusal_reason::RefusalReason::RevisionGap {
                found: note.revision,
                in_force: self.revision,
            });
        }
        state.revision = note.revision;
        for entries in [&note.added, &note.changed] {
            insert_all(&mut state.models, &entries.models, |entry| &entry.name);
            insert_all(&mut state.engines, &entries.engines, |entry| &entry.name);
            insert_all(&mut state.services, &entries.services, |entry| &entry.name);
            insert_all(&mut state.servers, &entries.servers, |entry| &entry.name);
            insert_all(&mut state.classes, &entries.classes, |entry| &entry.name);
            insert_all(&mut state.workspaces, &entries.workspaces, |entry| {
                &entry.name
            });
        }
        remove_all(&mut state.models, &note.withdrawn.models);
        remove_all(&mut state.engines, &note.withdrawn.engines);
        remove_all(&mut state.services, &note.withdrawn.services);
        remove_all(&mut state.servers, &note.withdrawn.servers);
        remove_all(&mut state.classes, &note.withdrawn.classes);
        remove_all(&mut state.workspaces, &note.withdrawn.workspaces);
        Ok(state)
    }

    /// Returns the digest of the state.
    #[must_use]
    pub fn digest(&self) -> note_digest::NoteDigest {
        let text = serde_json::to_vec(self).unwrap_or_default();
        note_digest::NoteDigest(xxhash_rust::xxh3::xxh3_128(&text))
    }
}

fn insert_all<Name: Ord + Clone, Entry: Clone>(
    map: &mut BTreeMap<Name, Entry>,
    entries: &[Entry],
    name_of: impl Fn(&Entry) -> &Name,
) {
    for entry in entries {
        map.insert(name_of(entry).clone(), entry.clone());
    }
}

fn remove_all<Name: Ord, Entry>(map: &mut BTreeMap<Name, Entry>, names: &[Name]) {
    for name in names {
        map.remove(name);
    }
}
