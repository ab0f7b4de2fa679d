//! Changes in a read of the platform's store.

use std::sync;

use crate::{backend_entry, site_config};

/// Change of the platform's configuration or list.
#[derive(Clone, Debug)]
pub enum ViewChange {
    /// A configuration was written.
    Config(sync::Arc<site_config::SiteConfig>),
    /// An entry was written.
    Backend(backend_entry::BackendEntry),
    /// An entry was removed, or replaced by one that isn't valid.
    BackendRemoved(ids::ServerName),
}

/// Change with the revision at which it was written.
#[derive(Clone, Debug)]
pub struct RevisedChange {
    /// Revision of the store.
    pub revision: u64,
    /// The change.
    pub change: ViewChange,
}

/// Result of one read of the platform's store.
#[derive(Clone, Debug)]
pub struct ViewUpdate {
    /// Era of the store; `None` if the answer didn't name one.
    pub era: Option<u64>,
    /// Revision up to which `changes` is complete.
    pub revision: u64,
    /// Whether `changes` lists the whole content of the store instead of the changes since the last
    /// read.
    pub complete: bool,
    /// The changes, oldest first.
    pub changes: Vec<RevisedChange>,
}
