//! A workspace.

/// A workspace: the customer as the unit of billing and isolation.
#[derive(
    Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize, schemars::JsonSchema,
)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceEntry {
    /// Name of the workspace.
    pub name: ids::WorkspaceName,
    /// Share of the capacity under contention, relative to the weights of other workspaces.
    pub weight: u32,
    /// Maximum number of requests of the workspace in flight at one instance.
    pub in_flight_limit: u32,
}
