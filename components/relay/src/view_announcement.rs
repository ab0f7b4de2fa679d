//! Announcement of an instance's view of the platform.

use std::time;

use crate::view_position;

/// Announcement of an instance's view of the platform, sent in its state updates.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ViewAnnouncement {
    /// Position of the view in the history of the platform's store.
    pub position: view_position::ViewPosition,
    /// Fingerprint of the view, 0 without a view.
    pub fingerprint: u64,
    /// Version of the configuration, 0 if unknown.
    pub config_version: u64,
    /// Time since the instance itself last read the platform's store.
    pub age: time::Duration,
}
