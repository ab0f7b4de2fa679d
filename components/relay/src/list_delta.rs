//! Change of the platform's list between two revisions.

use crate::{backend_entry, site_view};

/// Change of the platform's list between two revisions. The instance that read the change sends it
/// to the others, which then don't need to read the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ListDelta {
    /// Revision of the list before the change.
    pub base: u64,
    /// Revision of the list after the change.
    pub revision: u64,
    /// Entries that were added or changed.
    pub written: Vec<backend_entry::BackendEntry>,
    /// Servers whose entries were removed.
    pub gone: Vec<ids::ServerName>,
}

impl ListDelta {
    /// Returns the difference between two lists with their revisions.
    #[must_use]
    pub fn between(
        (base, before): (u64, &site_view::BackendMap),
        (revision, after): (u64, &site_view::BackendMap),
    ) -> Self {
        let written = after
            .values()
            .filter(|entry| before.get(&entry.server) != Some(entry))
            .cloned()
            .collect();
        let gone = before
            .keys()
            .filter(|server| !after.contains_key(*server))
            .cloned()
            .collect();
        Self {
            base,
            revision,
            written,
            gone,
        }
    }

    /// Returns whether the lists are equal.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.gone.is_empty()
    }

    /// Applies the change to a list.
    pub fn apply(&self, list: &mut site_view::BackendMap) {
        for entry in &self.written {
            list.insert(entry.server.clone(), entry.clone());
        }
        for server in &self.gone {
            list.remove(server);
        }
    }
}
