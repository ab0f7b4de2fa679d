//! Counters that the tasks of a hub share.

use std::sync::atomic;

use crate::peer_stats;

/// Counters that the tasks of a hub share.
#[derive(Debug, Default)]
pub(crate) struct HubCounters {
    pub(crate) sent_messages: EventCounter,
    pub(crate) sent_bytes: EventCounter,
    pub(crate) received_messages: EventCounter,
    pub(crate) received_bytes: EventCounter,
    pub(crate) dropped_full: EventCounter,
    pub(crate) dropped_unknown: EventCounter,
    pub(crate) dropped_unreachable: EventCounter,
    pub(crate) dropped_inbound: EventCounter,
    pub(crate) dropped_malformed: EventCounter,
    pub(crate) streams_opened: EventCounter,
    pub(crate) streams_replaced: EventCounter,
}

impl HubCounters {
    /// Returns the counts so far.
    pub(crate) fn stats(&self) -> peer_stats::PeerStats {
        peer_stats::PeerStats {
            sent_messages: self.sent_messages.get(),
            sent_bytes: self.sent_bytes.get(),
            received_messages: self.received_messages.get(),
            received_bytes: self.received_bytes.get(),
            dropped_full: self.dropped_full.get(),
            dropped_unknown: self.dropped_unknown.get(),
            dropped_unreachable: self.dropped_unreachable.get(),
            dropped_inbound: self.dropped_inbound.get(),
            dropped_malformed: self.dropped_malformed.get(),
            streams_opened: self.streams_opened.get(),
            streams_replaced: self.streams_replaced.get(),
        }
    }
}

/// A counter that any thread may raise.
#[derive(Debug, Default)]
pub(crate) struct EventCounter(atomic::AtomicU64);

impl EventCounter {
    /// Counts one.
    pub(crate) fn raise(&self) {
        self.add(1);
    }

    /// Counts several.
    pub(crate) fn add(&self, count: u64) {
        self.0.fetch_add(count, atomic::Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(atomic::Ordering::Relaxed)
    }
}
