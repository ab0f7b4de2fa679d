//! Metrics of the messages between instances.

use prometheus_client::{
    metrics::{counter, family},
    registry,
};

use crate::label;

/// Metrics of the messages between instances, told as counts since the start.
#[derive(Debug)]
pub struct PeerMetrics {
    sent_messages: counter::Counter,
    sent_bytes: counter::Counter,
    received_messages: counter::Counter,
    received_bytes: counter::Counter,
    dropped: family::Family<label::ReasonLabel, counter::Counter>,
    opened: counter::Counter,
    replaced: counter::Counter,
}

impl PeerMetrics {
    pub(crate) fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            sent_messages: counter::Counter::default(),
            sent_bytes: counter::Counter::default(),
            received_messages: counter::Counter::default(),
            received_bytes: counter::Counter::default(),
            dropped: family::Family::default(),
            opened: counter::Counter::default(),
            replaced: counter::Counter::default(),
        };
        metrics.register_traffic(registry);
        metrics.register_faults(registry);
        metrics
    }

    fn register_traffic(&self, registry: &mut registry::Registry) {
        registry.register(
            "control_messages_sent",
            "Messages sent to other instances",
            self.sent_messages.clone(),
        );
        registry.register_with_unit(
            "control_sent",
            "Bytes sent to other instances, without framing",
            registry::Unit::Bytes,
            self.sent_bytes.clone(),
        );
        registry.register(
            "control_messages_received",
            "Messages received from other instances",
            self.received_messages.clone(),
        );
        registry.register_with_unit(
            "control_received",
            "Bytes received from other instances, without framing",
            registry::Unit::Bytes,
            self.received_bytes.clone(),
        );
    }

    fn register_faults(&self, registry: &mut registry::Registry) {
        registry.register(
            "control_messages_dropped",
            "Messages between instances that were dropped here",
            self.dropped.clone(),
        );
        registry.register(
            "control_streams_opened",
            "Streams to other instances opened",
            self.opened.clone(),
        );
        registry.register(
            "control_streams_replaced",
            "Streams replaced because messages stayed unacknowledged",
            self.replaced.clone(),
        );
    }

    /// Tells the messages and bytes sent since the start.
    pub fn sent(&self, messages: u64, bytes: u64) {
        raise_to(&self.sent_messages, messages);
        raise_to(&self.sent_bytes, bytes);
    }

    /// Tells the messages and bytes received since the start.
    pub fn received(&self, messages: u64, bytes: u64) {
        raise_to(&self.received_messages, messages);
        raise_to(&self.received_bytes, bytes);
    }

    /// Tells the messages dropped since the start for one reason.
    pub fn dropped(&self, reason: &'static str, messages: u64) {
        let label = label::ReasonLabel { reason };
        raise_to(&self.dropped.get_or_create(&label), messages);
    }

    /// Tells the streams opened and replaced since the start.
    pub fn streams(&self, opened: u64, replaced: u64) {
        raise_to(&self.opened, opened);
        raise_to(&self.replaced, replaced);
    }
}

/// Raises a counter to a count since the start; a counter never falls.
fn raise_to(counter: &counter::Counter, count: u64) {
    counter.inc_by(count.saturating_sub(counter.get()));
}
