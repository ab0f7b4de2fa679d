//! Workspace of the configuration in force.

use crate::{key_digest, token_limit};

/// Workspace of the configuration in force.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct WorkspaceRule {
    /// Name of the workspace.
    pub name: ids::WorkspaceName,
    /// Priority of the workspace's requests, before that of their route; 0 is the highest.
    pub priority: Option<u8>,
    /// Digests of the keys that belong to the workspace.
    pub keys: Vec<key_digest::KeyDigest>,
    /// Limit on what the workspace may ask for; `None` without a limit.
    pub limit: Option<token_limit::TokenLimit>,
}
