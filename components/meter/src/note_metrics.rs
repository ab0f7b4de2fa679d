//! Metrics of release notes.

use prometheus_client::{
    metrics::{counter, gauge},
    registry,
};

/// Metrics of release notes.
#[derive(Debug)]
pub struct NoteMetrics {
    revision: gauge::Gauge,
    lag: gauge::Gauge,
    lagging_peers: gauge::Gauge,
    refused: counter::Counter,
    divergences: counter::Counter,
    ready: gauge::Gauge,
}

impl NoteMetrics {
    pub(crate) fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            revision: gauge::Gauge::default(),
            lag: gauge::Gauge::default(),
            lagging_peers: gauge::Gauge::default(),
            refused: counter::Counter::default(),
            divergences: counter::Counter::default(),
            ready: gauge::Gauge::default(),
        };
        registry.register(
            "revision_in_force",
            "Revision of the release notes in force",
            metrics.revision.clone(),
        );
        registry.register(
            "revision_lag",
            "Revisions by which this instance is behind the newest known of a peer",
            metrics.lag.clone(),
        );
        registry.register(
            "lagging_instances",
            "Other instances that last told an older revision",
            metrics.lagging_peers.clone(),
        );
        registry.register(
            "release_notes_refused",
            "Release notes that this instance refused",
            metrics.refused.clone(),
        );
        registry.register(
            "release_note_divergences",
            "Times that a peer had another state at the same revision",
            metrics.divergences.clone(),
        );
        registry.register(
            "ready",
            "Whether this instance takes callers",
            metrics.ready.clone(),
        );
        metrics
    }

    /// Tells the revision in force.
    pub fn in_force(&self, revision: u64) {
        self.revision.set(revision.cast_signed());
    }

    /// Tells by how many revisions this instance is behind, and how many others are.
    pub fn lag(&self, revisions: u64, lagging_peers: usize) {
        self.lag.set(revisions.cast_signed());
        self.lagging_peers.set(lagging_peers as i64);
    }

    /// Counts a refused note.
    pub fn refused(&self) {
        self.refused.inc();
    }

    /// Counts a peer with another state at the same revision.
    pub fn diverged(&self) {
        self.divergences.inc();
    }

    /// Tells whether this instance takes callers.
    pub fn ready(&self, ready: bool) {
        self.ready.set(i64::from(ready));
    }
}
