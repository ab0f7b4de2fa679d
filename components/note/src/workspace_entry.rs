//! A workspace.

/// A workspace: who is billed and isolated.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceEntry {
    /// Name of the workspace.
    pub name: ids::WorkspaceName,
    /// Share of the capacity under contention, relative to other workspaces.
    pub weight: u32,
    /// Requests of the workspace that may be in flight at one instance.
    pub in_flight_limit: u32,
}
