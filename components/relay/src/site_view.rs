//! View of the platform.

use std::{collections, sync};

use crate::{backend_entry, site_config, view_position};

/// Entries of the platform's list by server name.
pub type BackendMap = collections::BTreeMap<ids::ServerName, backend_entry::BackendEntry>;

/// View of the platform at one position: its configuration and list of backend servers.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct SiteView {
    /// Position in the history of the platform's store.
    #[serde(flatten)]
    pub position: view_position::ViewPosition,
    /// Configuration in force; `None` before the first one is received.
    pub config: Option<sync::Arc<site_config::SiteConfig>>,
    /// Backend servers and engines.
    pub backends: BackendMap,
    /// Servers of `backends` that the store doesn't list at the position of the view. Their entries may
    /// have expired during an outage of the store, so that they stay in use for a grace period.
    #[serde(default, skip_serializing_if = "collections::BTreeSet::is_empty")]
    pub kept: collections::BTreeSet<ids::ServerName>,
}

impl SiteView {
    /// Returns the version of the configuration, or 0 without one.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the entries that the store lists at the position of the view.
    pub fn listed(&self) -> impl Iterator<Item = &backend_entry::BackendEntry> {
        let entries = self.backends.values();
        entries.filter(|entry| !self.kept.contains(&entry.server))
    }

    /// Returns whether the store lists a server at the position of the view.
    #[must_use]
    pub fn lists(&self, server: &ids::ServerName) -> bool {
        self.backends.contains_key(server) && !self.kept.contains(server)
    }

    /// Returns a hash of the configuration's version and the listed entries, independent of the
    /// position.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint_with(self.config_version())
    }

    /// Returns the fingerprint that the view would have with another version of the configuration.
    ///
    /// It tells whether another instance has the same list, whichever configuration that one has.
    #[must_use]
    pub fn fingerprint_with(&self, config_version: u64) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(&config_version.to_le_bytes());
        for entry in self.listed() {
            hash.update(entry.server.as_str().as_bytes());
            hash.update(entry.address.to_string().as_bytes());
            hash.update(&[
                u8::from(entry.leaving),
                entry.stage.map_or(0, |stage| stage as u8 + 1),
            ]);
            hash.update(&entry.born_millis.to_le_bytes());
            hash.update(entry.software.as_str().as_bytes());
        }
        hash.digest()
    }
}
