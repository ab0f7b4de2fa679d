//! The backend servers that this instance knows.

use std::collections;

use crate::{backend, engine_usage, instance_news, site_view};

/// Backend servers by key.
pub type BackendTable = slotmap::SlotMap<backend::BackendKey, backend::Backend>;

/// The backend servers that this instance knows: those listed, and those it still uses.
#[derive(Debug, Default)]
pub struct BackendBook {
    backends: BackendTable,
    by_name: collections::BTreeMap<ids::ServerName, backend::BackendKey>,
}

impl BackendBook {
    /// Returns the backend servers.
    #[must_use]
    pub const fn table(&self) -> &BackendTable {
        &self.backends
    }

    /// Returns a backend server.
    #[must_use]
    pub fn get(&self, key: backend::BackendKey) -> Option<&backend::Backend> {
        self.backends.get(key)
    }

    /// Returns a backend server for a change.
    pub fn get_mut(&mut self, key: backend::BackendKey) -> Option<&mut backend::Backend> {
        self.backends.get_mut(key)
    }

    /// Takes over the list of a view.
    pub fn take_view(&mut self, view: &site_view::BackendMap) {
        for (server, entry) in view {
            let known = self
                .by_name
                .get(server)
                .and_then(|key| self.backends.get_mut(*key))
                .filter(|known| known.entry.born_millis == entry.born_millis);
            match known {
                Some(known) => known.take_entry(entry),
                None => self.add(entry),
            }
        }
        let by_name = &self.by_name;
        for (key, known) in &mut self.backends {
            let server = &known.entry.server;
            let current = by_name.get(server) == Some(&key);
            known.listed = current && view.contains_key(server);
        }
        self.forget_unused();
    }

    /// Takes over what the other instances use.
    pub fn take_usage(&mut self, usage: &collections::BTreeMap<u64, engine_usage::EngineUsage>) {
        for (_, known) in &mut self.backends {
            let hash = instance_news::server_hash(&known.entry.server);
            known.foreign = usage.get(&hash).cloned().unwrap_or_default();
        }
    }

    /// Forgets the requests of other instances that were expected to be placed.
    pub fn clear_expected(&mut self) {
        for (_, known) in &mut self.backends {
            known.expected.clear();
            known.expected_prefill_tokens = 0;
        }
    }

    /// Takes over which engines the other instances tell to be paused.
    pub fn take_paused(&mut self, paused: &collections::BTreeSet<u64>) {
        for (_, known) in &mut self.backends {
            let hash = instance_news::server_hash(&known.entry.server);
            known.told_paused = paused.contains(&hash);
        }
    }

    /// Returns the engines that no instance is to send anything, for this one's news.
    #[must_use]
    pub fn own_paused(&self, now: clock::Timestamp) -> Vec<u64> {
        self.backends
            .values()
            .filter(|known| known.is_paused_for_all(now))
            .map(|known| instance_news::server_hash(&known.entry.server))
            .collect()
    }

    /// Returns what this instance uses, for its news.
    #[must_use]
    pub fn own_usage(&self) -> Vec<(u64, engine_usage::EngineUsage)> {
        self.backends
            .values()
            .filter(|known| !known.is_unused())
            .map(|known| {
                let hash = instance_news::server_hash(&known.entry.server);
                (hash, known.own_usage())
            })
            .collect()
    }

    /// Drops servers that are neither listed nor used.
    pub fn forget_unused(&mut self) {
        self.backends
            .retain(|_, known| known.listed || !known.is_unused());
        let backends = &self.backends;
        self.by_name.retain(|_, key| backends.contains_key(*key));
    }

    fn add(&mut self, entry: &crate::BackendEntry) {
        let key = self.backends.insert(backend::Backend::new(entry.clone()));
        self.by_name.insert(entry.server.clone(), key);
    }
}
