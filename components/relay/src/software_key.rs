//! Software version of a service's backend servers.

use crate::{backend_entry, instance_update};

/// Software version of a service's backend servers. A stream, and a KV cache, fits only engines of
/// the version that began it.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct SoftwareKey {
    /// Hash of the service from [`crate::service_hash`].
    pub service: u64,
    /// Hash of the version's name.
    pub version: u64,
}

impl SoftwareKey {
    /// Returns the version of a server.
    #[must_use]
    pub fn of(entry: &backend_entry::BackendEntry) -> Self {
        Self {
            service: instance_update::service_hash(&entry.service),
            version: xxhash_rust::xxh3::xxh3_64(entry.software.as_str().as_bytes()),
        }
    }
}
