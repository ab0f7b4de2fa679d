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
