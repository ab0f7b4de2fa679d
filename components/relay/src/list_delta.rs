//! Change of the platform's list between two revisions of one era.

use crate::{backend_entry, site_view, view_position};

/// Change of the platform's list between two revisions of one era. The instance that read the change sends it
/// to the others, which then don't need to read the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ListDelta {
    /// Era of the platform's store.
    #[serde(default)]
    pub era: u64,
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
    /// Returns the difference between the lists of two views of one era.
    #[must_use]
    pub fn between(before: &site_view::SiteView, after: &site_view::SiteView) -> Self {
        let written = after
            .listed()
            .filter(|entry| {
                !before.lists(&entry.server) || before.backends.get(&entry.server) != Some(entry)
            })
            .cloned()
            .collect();
        let gone = before
            .listed()
            .map(|entry| &entry.server)
            .filter(|server| !after.lists(server))
            .cloned()
            .collect();
        Self {
            era: after.position.era,
            base: before.position.revision,
            revision: after.position.revision,
            written,
            gone,
        }
    }

    /// Returns whether the lists are equal.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.written.is_empty() && self.gone.is_empty()
    }

    /// Returns whether the change can be applied to the list of a view at `position`.
    #[must_use]
    pub fn follows(&self, position: view_position::ViewPosition) -> bool {
        self.era == position.era && (self.base..self.revision).contains(&position.revision)
    }

    /// Applies the change to the list of a view.
    pub fn apply(&self, view: &mut site_view::SiteView) {
        for entry in &self.written {
            view.kept.remove(&entry.server);
            view.backends.insert(entry.server.clone(), entry.clone());
        }
        for server in &self.gone {
            view.kept.remove(server);
            view.backends.remove(server);
        }
    }
}
