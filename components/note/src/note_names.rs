//! The names that a note withdraws.

/// The names that a note withdraws.
#[derive(
    Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields, default)]
pub struct NoteNames {
    /// Models.
    pub models: Vec<ids::ModelName>,
    /// Model engines.
    pub engines: Vec<ids::ServerName>,
    /// Plain services.
    pub services: Vec<ids::ServiceName>,
    /// Backend servers of plain services.
    pub servers: Vec<ids::ServerName>,
    /// Request classes.
    pub classes: Vec<ids::ClassName>,
    /// Workspaces.
    pub workspaces: Vec<ids::WorkspaceName>,
}

impl NoteNames {
    /// Returns whether there are no names.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.models.is_empty()
            && self.engines.is_empty()
            && self.services.is_empty()
            && self.servers.is_empty()
            && self.classes.is_empty()
            && self.workspaces.is_empty()
    }
}
