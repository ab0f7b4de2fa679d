//! Changes of the configuration and of the list of servers.

use std::{collections, sync};

use crate::{backend_entry, list_event, site_view, store_contact, view_change, view_tracker};

/// Largest number of changes of the list that wait to be logged.
const MAX_LIST_EVENTS: usize = 1_024;

impl view_tracker::ViewTracker {
    /// Returns and forgets the changes of the list since the last call. The first list of a process
    /// counts as none.
    pub fn take_list_events(&mut self) -> Vec<list_event::ListEvent> {
        std::mem::take(&mut self.list_events)
    }

    fn record_list_event(&mut self, server: &ids::ServerName, change: list_event::ListChange) {
        if self.as_of.is_none() || self.list_events.len() >= MAX_LIST_EVENTS {
            return;
        }
        self.list_events.push(list_event::ListEvent {
            server: server.clone(),
            change,
        });
    }

    /// Removes the kept servers whose grace period has ended; returns whether one was removed.
    pub fn expire(&mut self, now: clock::Timestamp) -> bool {
        let kept = self.expiring.len();
        self.remove_expired(now);
        self.expiring.len() < kept
    }

    /// Applies the changes of a read, oldest first. The view contains those up to its revision
    /// already.
    pub(super) fn apply_changes(
        &mut self,
        now: clock::Timestamp,
        update: &view_change::ViewUpdate,
        is_restored: bool,
    ) {
        let known: Vec<ids::ServerName> = self
            .view
            .listed()
            .map(|entry| entry.server.clone())
            .collect();
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
            self.remove(now, &server);
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
    /// written late or restored from a copy. One without a start time shows no other incarnation.
    pub(super) fn list_entry(
        &mut self,
        now: clock::Timestamp,
        mut entry: backend_entry::BackendEntry,
    ) {
        let known = self.view.backends.get(&entry.server);
        let is_draining = known.is_some_and(|known| {
            let is_known_start = [0, known.born_millis].contains(&entry.born_millis);
            known.leaving && is_known_start
        }) || self.removed.was_leaving(now, &entry);
        entry.leaving |= is_draining;
        let is_unchanged = known.is_some_and(|known| {
            known.leaving == entry.leaving && known.is_same_incarnation(&entry)
        }) && self.view.lists(&entry.server);
        self.end_grace(&entry.server);
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
    ///
    /// What neither the store lists nor the other instance keeps is dropped; a process without a list
    /// of its own keeps what the other one keeps.
    pub(super) fn replace_list(&mut self, now: clock::Timestamp, view: site_view::SiteView) {
        let unlisted: Vec<ids::ServerName> = self
            .view
            .backends
            .keys()
            .filter(|server| !view.lists(server))
            .cloned()
            .collect();
        for server in unlisted {
            if view.kept.contains(&server) {
                self.remove(now, &server);
            } else {
                self.drop_entry(now, &server);
            }
        }
        let has_no_list = self.as_of.is_none();
        for entry in view.backends.into_values() {
            if !view.kept.contains(&entry.server) {
                self.list_entry(now, entry);
            } else if has_no_list {
                let server = entry.server.clone();
                self.list_entry(now, entry);
                self.keep(server, now + store_contact::REGISTRATION_TIME);
            }
        }
    }

    /// Removes a server that the store doesn't list any more. After an outage it is kept until it could
    /// have registered again, unless it was draining.
    pub(super) fn remove(&mut self, now: clock::Timestamp, server: &ids::ServerName) {
        if self.view.kept.contains(server) {
            return;
        }
        let is_draining = self
            .view
            .backends
            .get(server)
            .is_none_or(|entry| entry.leaving);
        match self.contact.entries_missing_until(now) {
            Some(until) if !is_draining => self.keep(server.clone(), until),
            _ => self.drop_entry(now, server),
        }
    }

    fn keep(&mut self, server: ids::ServerName, until: clock::Timestamp) {
        self.record_list_event(&server, list_event::ListChange::Kept);
        self.view.kept.insert(server.clone());
        self.expiring.insert(server, until);
    }

    fn end_grace(&mut self, server: &ids::ServerName) {
        self.view.kept.remove(server);
        self.expiring.remove(server);
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
        self.end_grace(server);
        if let Some(entry) = self.view.backends.remove(server) {
            self.removed.record(now, &entry);
            self.record_list_event(server, list_event::ListChange::Removed);
        }
    }
}
