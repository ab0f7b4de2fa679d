//! What an instance tells the others of its workspaces' usage.

use crate::workspace_key;

/// Usage of a service by one workspace at the sender of a state update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareReport {
    /// Hash of the service from [`crate::service_hash`].
    pub service: u64,
    /// Workspace.
    pub workspace: workspace_key::WorkspaceKey,
    /// Tokens of the requests that the sender has placed, decayed up to the time of the update.
    pub tokens: u32,
}
