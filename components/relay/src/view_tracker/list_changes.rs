//! Changes of the configuration and of the list of servers.

use std::{collections, sync, time};

use crate::{backend_entry, list_event, site_view, view_change, view_tracker};

/// Grace period of entries that expired during an outage of the store.
const EXPIRY_GRACE: time::Duration = time::Duration::from_millis(1_700);

impl view_tracker::ViewTracker {
    /// Applies the changes of a read, oldest first. The view contains those up to its revision
    /// already.
    pub(super) fn apply_changes(
        &mut self,
        now: clock::Timestamp,
        update: &view_change::ViewUpdate,
        is_restored: bool,
        after_outage: bool,
    ) {
        let known: Vec<ids::ServerName> = self.view.backends.keys().cloned().collect();
        let mut written = collections::BTreeSet::new();
        let mut removed = Vec::new();
        let applied_revision = if update.complete {
            0
        } else {
            self.view.position.revision
        };
        for revised in &update.changes {
            match &revised.change {
                view_change::ViewChange::Config(config) => self.apply_config(config),
                _ if revised.revision <= applied_revision => {}
                // The server has left since the copy was made, unless it writes its entry again.
                view_change::ViewChange::Backend(entry)
                    if is_restored && self.removed.contains(now, entry) => {}
                view_change::ViewChange::Backend(entry) => {
                    removed.retain(|server| *server != entry.server);
                    written.insert(entry.server.clone());
                    self.list_entry(now, entry.clone());
                }
                view_change::ViewChange::BackendRemoved(server) => {
                    written.remove(server);
                    removed.push(server.clone());
                }
            }
        }
        if update.complete {
            removed.extend(known.into_iter().filter(|server| !written.contains(server)));
        }
        for server in removed {
            self.remove(now, server, after_outage);
        }
    }

    /// Applies the configurations of a read alone.
    pub(super) fn apply_configs(&mut self, update: &view_change::ViewUpdate) {
        for revised in &update.changes {
            if let view_change::ViewChange::Config(config) = &revised.change {
                self.apply_config(config);
            }
        }
    }

    pub(super) fn apply_config(&mut self, config: &sync::Arc<crate::SiteConfig>) {
        if config.version > self.view.config_version() {
            self.view.config = Some(sync::Arc::clone(config));
            self.newer_configs.drop_through(config.version);
        }
    }

    pub(super) fn apply_copied_config(&mut self, config: &sync::Arc<crate::SiteConfig>) {
        if !config.workspaces.is_unknown() {
            self.apply_config(config);
        } else if config.version > self.view.config_version() {
            self.needs_workspaces = true;
            self.needs_complete_read = true;
        }
    }

    /// Adds or replaces an entry.
    ///
    /// A draining server stays draining in the same incarnation: an entry that says otherwise was
    /// written late or restored from a copy.
    pub(super) fn list_entry(
        &mut self,
        now: clock::Timestamp,
        mut entry: backend_entry::BackendEntry,
    ) {
        let known = self.view.backends.get(&entry.server);
        let is_draining = known
            .is_some_and(|known| known.leaving && known.born_millis == entry.born_millis)
            || self.removed.was_leaving(now, &entry);
        entry.leaving |= is_draining;
        let is_unchanged = known.is_some_and(|known| {
            known.leaving == entry.leaving && known.is_same_incarnation(&entry)
        });
        self.expiring.remove(&entry.server);
        self.removed.forget(&entry.server);
        if !is_unchanged {
            let change = if entry.leaving {
                list_event::ListChange::Draining
            } else {
                list_event::ListChange::Listed
            };
            self.record_list_event(&entry.server, change);
        }
        self.view.backends.insert(entry.server.clone(), entry);
    }

    /// Replaces the list by that of another instance.
    pub(super) fn replace_list(&mut self, now: clock::Timestamp, list: site_view::BackendMap) {
        let dropped: Vec<ids::ServerName> = self
            .view
            .backends
            .keys()
            .filter(|server| !list.contains_key(*server))
            .cloned()
            .collect();
        for server in dropped {
            self.drop_entry(now, &server);
        }
        for entry in list.into_values() {
            self.list_entry(now, entry);
        }
    }

    pub(super) fn remove(
        &mut self,
        now: clock::Timestamp,
        server: ids::ServerName,
        after_outage: bool,
    ) {
        let draining = self
            .view
            .backends
            .get(&server)
            .is_none_or(|entry| entry.leaving);
        if draining || !after_outage {
            self.drop_entry(now, &server);
            return;
        }
        if !self.expiring.contains_key(&server) {
            self.record_list_event(&server, list_event::ListChange::Kept);
            self.expiring.insert(server, now + EXPIRY_GRACE);
        }
    }

    pub(super) fn remove_expired(&mut self, now: clock::Timestamp) {
        let expired: Vec<ids::ServerName> = self
            .expiring
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(server, _)| server.clone())
            .collect();
        for server in expired {
            self.drop_entry(now, &server);
        }
    }

    pub(super) fn drop_entry(&mut self, now: clock::Timestamp, server: &ids::ServerName) {
        self.expiring.remove(server);
        if let Some(entry) = self.view.backends.remove(server) {
            self.removed.record(now, &entry);
            self.record_list_event(server, list_event::ListChange::Removed);
        }
    }
}
