//! All metrics of an instance.

use std::sync;

use prometheus_client::{encoding::text, registry};

use crate::{
    call_metrics, member_metrics, note_metrics, order_metrics, peer_metrics, placement_metrics,
    process_metrics, request_metrics,
};

/// Prefix of every metric.
const PREFIX: &str = "plantainreach";

/// All metrics of an instance; cheap to clone.
#[derive(Clone, Debug)]
pub struct Meter(sync::Arc<MetricGroups>);

#[derive(Debug)]
struct MetricGroups {
    registry: registry::Registry,
    requests: request_metrics::RequestMetrics,
    placements: placement_metrics::PlacementMetrics,
    calls: call_metrics::CallMetrics,
    notes: note_metrics::NoteMetrics,
    members: member_metrics::MemberMetrics,
    orders: order_metrics::OrderMetrics,
    peers: peer_metrics::PeerMetrics,
    process: process_metrics::ProcessMetrics,
}

impl Default for Meter {
    fn default() -> Self {
        let mut registry = registry::Registry::with_prefix(PREFIX);
        Self(sync::Arc::new(MetricGroups {
            requests: request_metrics::RequestMetrics::register(&mut registry),
            placements: placement_metrics::PlacementMetrics::register(&mut registry),
            calls: call_metrics::CallMetrics::register(&mut registry),
            notes: note_metrics::NoteMetrics::register(&mut registry),
            members: member_metrics::MemberMetrics::register(&mut registry),
            orders: order_metrics::OrderMetrics::register(&mut registry),
            peers: peer_metrics::PeerMetrics::register(&mut registry),
            process: process_metrics::ProcessMetrics::register(&mut registry),
            registry,
        }))
    }
}

impl Meter {
    /// Content type of [`Meter::render`].
    pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

    /// Returns the metrics of model requests.
    #[must_use]
    pub fn requests(&self) -> &request_metrics::RequestMetrics {
        &self.0.requests
    }

    /// Returns the metrics of placement.
    #[must_use]
    pub fn placements(&self) -> &placement_metrics::PlacementMetrics {
        &self.0.placements
    }

    /// Returns the metrics of calls.
    #[must_use]
    pub fn calls(&self) -> &call_metrics::CallMetrics {
        &self.0.calls
    }

    /// Returns the metrics of release notes.
    #[must_use]
    pub fn notes(&self) -> &note_metrics::NoteMetrics {
        &self.0.notes
    }

    /// Returns the metrics of the membership.
    #[must_use]
    pub fn members(&self) -> &member_metrics::MemberMetrics {
        &self.0.members
    }

    /// Returns the metrics of engine orders.
    #[must_use]
    pub fn orders(&self) -> &order_metrics::OrderMetrics {
        &self.0.orders
    }

    /// Returns the metrics of the messages between instances.
    #[must_use]
    pub fn peers(&self) -> &peer_metrics::PeerMetrics {
        &self.0.peers
    }

    /// Returns the metrics of the process.
    #[must_use]
    pub fn process(&self) -> &process_metrics::ProcessMetrics {
        &self.0.process
    }

    /// Returns all metrics in the OpenMetrics text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.0.process.refresh();
        let mut output = String::new();
        // Writing to a string doesn't fail.
        let _ = text::encode(&mut output, &self.0.registry);
        output
    }
}
