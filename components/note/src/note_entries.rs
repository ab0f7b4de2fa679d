//! The entries that a note adds or changes.

use crate::{
    engine_entry, model_entry, request_class, server_entry, service_entry, workspace_entry,
};

/// The entries that a note adds or changes.
#[derive(
    Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields, default)]
pub struct NoteEntries {
    /// Models.
    pub models: Vec<model_entry::ModelEntry>,
    /// Model engines.
    pub engines: Vec<engine_entry::EngineEntry>,
    /// Plain services.
    pub services: Vec<service_entry::ServiceEntry>,
    /// Backend servers of plain services.
    pub servers: Vec<server_entry::ServerEntry>,
    /// Request classes.
    pub classes: Vec<request_class::RequestClass>,
    /// Workspaces.
    pub workspaces: Vec<workspace_entry::WorkspaceEntry>,
}

impl NoteEntries {
    /// Returns whether there are no entries.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.models.is_empty()
            && self.engines.is_empty()
            && self.services.is_empty()
            && self.servers.is_empty()
            && self.classes.is_empty()
            && self.workspaces.is_empty()
    }

    /// Appends the entries of another part of the same base note.
    pub fn append(&mut self, part: Self) {
        self.models.extend(part.models);
        self.engines.extend(part.engines);
        self.services.extend(part.services);
        self.servers.extend(part.servers);
        self.classes.extend(part.classes);
        self.workspaces.extend(part.workspaces);
    }
}
