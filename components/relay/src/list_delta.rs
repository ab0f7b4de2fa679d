//! A change of the platform's list between two revisions.

use crate::{backend_entry, site_view};

/// A change of the platform's list between two revisions, as an instance that read it tells the
/// others, so that they needn't read it themselves.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ListDelta {
    /// Revision of the list before.
    pub base: u64,
    /// Revision of the list after.
    pub revision: u64,
    /// Entries that are new or differ.
    pub written: Vec<backend_entry::BackendEntry>,
    /// Servers whose entries are gone.
    pub gone: Vec<ids::ServerName>,
}

impl ListDelta {
    /// Returns what differs between two lists.
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

    /// Returns whether nothing differs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.gone.is_empty()
    }

    /// Makes the change on a list.
    pub fn apply(&self, list: &mut site_view::BackendMap) {
        for entry in &self.written {
            list.insert(entry.server.clone(), entry.clone());
        }
        for server in &self.gone {
            list.remove(server);
        }
    }
}
