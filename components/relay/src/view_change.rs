//! Changes that a read of the platform's store brings.

use std::sync;

use crate::{backend_entry, site_config};

/// One change of what the platform publishes.
#[derive(Clone, Debug)]
pub enum ViewChange {
    /// A configuration was written.
    Config(sync::Arc<site_config::SiteConfig>),
    /// An entry was written.
    Backend(backend_entry::BackendEntry),
    /// An entry was removed, or replaced by one that isn't valid.
    BackendRemoved(ids::ServerName),
}

/// What one read of the platform's store brought.
#[derive(Clone, Debug)]
pub struct ViewUpdate {
    /// Revision up to which the changes are complete.
    pub revision: u64,
    /// Whether the changes are all that the store holds, rather than those since the last read.
    pub complete: bool,
    /// The changes, oldest first.
    pub changes: Vec<ViewChange>,
}
