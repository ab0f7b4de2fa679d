//! Refresh of a view that may be out of date.

use std::{collections, time};

/// Number of peers probed at once during a refresh.
pub(crate) const REFRESH_PEERS: usize = 3;

/// Number of acknowledgements that complete a refresh, provided there are as many peers.
pub(crate) const REFRESH_ACKS: usize = 2;

/// Time after which other peers are probed.
const REFRESH_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Refresh of a view that may be out of date.
///
/// A refresh completes when the platform's list has been read again and enough peers have
/// acknowledged probes sent since the refresh started. Acknowledgements of earlier probes don't
/// count, since they may have been buffered while this process was paused.
#[derive(Debug, Default)]
pub(crate) struct ViewRefresh {
    /// Whether the platform's list was read since the refresh started.
    list_read: bool,
    probed: collections::BTreeMap<u64, ids::InstanceId>,
    acknowledged: collections::BTreeSet<ids::InstanceId>,
    next_probe_at: clock::Timestamp,
}

impl ViewRefresh {
    /// Records that the platform's list was read.
    pub(crate) const fn record_list(&mut self) {
        self.list_read = true;
    }

    /// Returns the time of the next probes; the maximum while the platform's list isn't read yet.
    pub(crate) const fn next_probe_at(&self) -> clock::Timestamp {
        if self.list_read {
            self.next_probe_at
        } else {
            clock::Timestamp::MAX
        }
    }

    /// Records the probed peers by the sequence numbers of their probes.
    pub(crate) fn record_probes(
        &mut self,
        now: clock::Timestamp,
        probed: collections::BTreeMap<u64, ids::InstanceId>,
    ) {
        self.probed.extend(probed);
        self.next_probe_at = now + REFRESH_RETRY_INTERVAL;
    }

    /// Records an acknowledgement of one of the probes.
    pub(crate) fn acknowledge(&mut self, from: ids::InstanceId, sequence: u64) {
        if self.probed.get(&sequence) == Some(&from) {
            self.acknowledged.insert(from);
        }
    }

    /// Returns whether the refresh is complete when `available` peers can acknowledge.
    pub(crate) fn is_complete(&self, available: usize) -> bool {
        self.list_read && self.acknowledged.len() >= available.min(REFRESH_ACKS)
    }
}
