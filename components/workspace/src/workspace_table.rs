//! Workspaces of one configuration, found by key.

use std::{collections, sync};

use crate::{key_digest, workspace_rule};

/// Workspaces of one configuration, found by key.
#[derive(Clone, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(
    from = "Vec<workspace_rule::WorkspaceRule>",
    into = "Vec<workspace_rule::WorkspaceRule>"
)]
pub struct WorkspaceTable {
    rules: Vec<sync::Arc<workspace_rule::WorkspaceRule>>,
    /// Positions in `rules`, by the digests of the keys.
    holders: collections::HashMap<key_digest::KeyDigest, u32>,
    /// Whether the source of the configuration didn't tell its workspaces.
    is_unknown: bool,
}

impl WorkspaceTable {
    /// Returns the table of a configuration whose source doesn't know of workspaces. Nothing tells
    /// whether requests need keys.
    #[must_use]
    pub fn unknown() -> Self {
        Self {
            is_unknown: true,
            ..Self::default()
        }
    }

    /// Returns whether the source of the configuration didn't tell its workspaces.
    #[must_use]
    pub const fn is_unknown(&self) -> bool {
        self.is_unknown
    }

    /// Returns whether the configuration names no workspaces, so that requests need no keys.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.rules.is_empty() && !self.is_unknown
    }

    /// Returns the workspaces in the order of the configuration.
    #[must_use]
    pub fn rules(&self) -> &[sync::Arc<workspace_rule::WorkspaceRule>] {
        &self.rules
    }

    /// Returns the workspace that holds a key.
    #[must_use]
    pub fn holder(
        &self,
        digest: key_digest::KeyDigest,
    ) -> Option<&sync::Arc<workspace_rule::WorkspaceRule>> {
        let position = self.holders.get(&digest)?;
        self.rules.get(usize::try_from(*position).ok()?)
    }
}

impl From<Vec<workspace_rule::WorkspaceRule>> for WorkspaceTable {
    /// Indexes the keys. A key that several workspaces name belongs to the first of them.
    fn from(rules: Vec<workspace_rule::WorkspaceRule>) -> Self {
        let mut holders = collections::HashMap::new();
        for (position, rule) in (0_u32..).zip(&rules) {
            for key in &rule.keys {
                holders.entry(*key).or_insert(position);
            }
        }
        Self {
            rules: rules.into_iter().map(sync::Arc::new).collect(),
            holders,
            is_unknown: false,
        }
    }
}

impl From<WorkspaceTable> for Vec<workspace_rule::WorkspaceRule> {
    fn from(table: WorkspaceTable) -> Self {
        table
            .rules
            .into_iter()
            .map(sync::Arc::unwrap_or_clone)
            .collect()
    }
}
