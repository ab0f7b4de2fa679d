//! What an instance knows of the platform.

use std::{collections, sync};

use crate::{backend_entry, site_config};

/// Entries of the platform's list by name.
pub type BackendMap = collections::BTreeMap<ids::ServerName, backend_entry::BackendEntry>;

/// What an instance knows of the platform at one revision.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub struct SiteView {
    /// Revision of the platform's store up to which changes are included.
    pub revision: u64,
    /// Configuration in force, when one is known.
    pub config: Option<sync::Arc<site_config::SiteConfig>>,
    /// Backend servers and engines.
    pub backends: BackendMap,
}

impl SiteView {
    /// Returns the version of the configuration, 0 when none is known.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns a hash of the version of the configuration and of the list of backend servers.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        hash.update(&self.config_version().to_le_bytes());
        for entry in self.backends.values() {
            hash.update(entry.server.as_str().as_bytes());
            hash.update(entry.address.to_string().as_bytes());
            hash.update(&[
                u8::from(entry.leaving),
                entry.stage.map_or(0, |stage| stage as u8 + 1),
            ]);
            hash.update(&entry.born_millis.to_le_bytes());
        }
        hash.digest()
    }
}
