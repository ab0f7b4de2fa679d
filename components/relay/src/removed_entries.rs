//! Entries that were removed from the platform's list.

use std::{collections, time};

use crate::backend_entry;

/// Time for which a removal is remembered, which exceeds the age of the copy from which a store is
/// restored.
const REMOVAL_MEMORY: time::Duration = time::Duration::from_secs(60);

/// Incarnation of a removed entry.
#[derive(Clone, Copy, Debug)]
struct RemovedEntry {
    born_millis: u64,
    /// Whether the server was draining.
    leaving: bool,
    removed_at: clock::Timestamp,
}

/// Entries that were removed from the platform's list.
///
/// A store that is restored from a copy lists them again, although their servers have left.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemovedEntries {
    entries: collections::BTreeMap<ids::ServerName, RemovedEntry>,
}

impl RemovedEntries {
    /// Records the removal of an entry.
    pub(crate) fn record(&mut self, now: clock::Timestamp, entry: &backend_entry::BackendEntry) {
        self.entries
            .retain(|_, removed| now.since(removed.removed_at) < REMOVAL_MEMORY);
        let removed = RemovedEntry {
            born_millis: entry.born_millis,
            leaving: entry.leaving,
            removed_at: now,
        };
        self.entries.insert(entry.server.clone(), removed);
    }

    /// Forgets the removal of a server that is listed again.
    pub(crate) fn forget(&mut self, server: &ids::ServerName) {
        self.entries.remove(server);
    }

    /// Returns whether the incarnation of an entry was removed recently.
    pub(crate) fn contains(
        &self,
        now: clock::Timestamp,
        entry: &backend_entry::BackendEntry,
    ) -> bool {
        self.find(now, entry).is_some()
    }

    /// Returns whether the incarnation of an entry was draining when it was removed.
    pub(crate) fn was_leaving(
        &self,
        now: clock::Timestamp,
        entry: &backend_entry::BackendEntry,
    ) -> bool {
        self.find(now, entry).is_some_and(|removed| removed.leaving)
    }

    fn find(
        &self,
        now: clock::Timestamp,
        entry: &backend_entry::BackendEntry,
    ) -> Option<&RemovedEntry> {
        self.entries
            .get(&entry.server)
            .filter(|removed| removed.born_millis == entry.born_millis)
            .filter(|removed| now.since(removed.removed_at) < REMOVAL_MEMORY)
    }
}
