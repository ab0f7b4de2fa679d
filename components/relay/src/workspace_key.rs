//! Identifies a workspace in decisions and state updates.

/// Identifies a workspace in decisions and state updates, by a hash of its name. The default is that
/// of requests without a workspace.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkspaceKey(pub u64);

impl nohash_hasher::IsEnabled for WorkspaceKey {}

impl WorkspaceKey {
    /// Returns the key of a workspace.
    #[must_use]
    pub fn of(name: &ids::WorkspaceName) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_str().as_bytes()))
    }
}
