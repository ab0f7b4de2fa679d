//! What an instance tells the others of a workspace's spending.

/// What an instance tells the others of a workspace's spending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SpendReport {
    /// Workspace, by [`crate::workspace_hash`].
    pub workspace: u64,
    /// What the sender has drawn on the workspace's limit.
    pub count: budget::DrawCount,
}

/// Returns the hash that identifies a workspace in state updates.
#[must_use]
pub fn workspace_hash(workspace: &ids::WorkspaceName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(workspace.as_str().as_bytes())
}
