//! Interface of the entries of all kinds.

use crate::{
    engine_entry, entry_kind, model_entry, request_class, server_entry, service_entry,
    workspace_entry,
};

/// Interface of the entries of all kinds.
pub trait NoteEntry: Clone + PartialEq + serde::Serialize {
    /// Type of the entry's name.
    type Name: Clone + Ord + std::fmt::Display;

    /// Kind of the entry.
    const KIND: entry_kind::EntryKind;

    /// Returns the name of the entry.
    fn name(&self) -> &Self::Name;
}

impl NoteEntry for model_entry::ModelEntry {
    type Name = ids::ModelName;

    const KIND: entry_kind::EntryKind = entry_kind::EntryKind::Models;

    fn name(&self) -> &Self::Name {
        &self.name
    }
}

impl NoteEntry for engine_entry::EngineEntry {
    type Name = ids::ServerName;

    const KIND: entry_kind::EntryKind = entry_kind::EntryKind::Engines;

    fn name(&self) -> &Self::Name {
        &self.name
    }
}

impl NoteEntry for service_entry::ServiceEntry {
    type Name = ids::ServiceName;

    const KIND: entry_kind::EntryKind = entry_kind::EntryKind::Services;

    fn name(&self) -> &Self::Name {
        &self.name
    }
}

impl NoteEntry for server_entry::ServerEntry {
    type Name = ids::ServerName;

    const KIND: entry_kind::EntryKind = entry_kind::EntryKind::Servers;

    fn name(&self) -> &Self::Name {
        &self.name
    }
}

impl NoteEntry for request_class::RequestClass {
    type Name = ids::ClassName;

    const KIND: entry_kind::EntryKind = entry_kind::EntryKind::Classes;

    fn name(&self) -> &Self::Name {
        &self.name
    }
}

impl NoteEntry for workspace_entry::WorkspaceEntry {
    type Name = ids::WorkspaceName;

    const KIND: entry_kind::EntryKind = entry_kind::EntryKind::Workspaces;

    fn name(&self) -> &Self::Name {
        &self.name
    }
}
