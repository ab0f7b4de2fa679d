//! Metrics of placement.

use std::time;

use prometheus_client::{
    metrics::{counter, family, gauge, histogram},
    registry,
};

use crate::label;

/// Upper bounds of the buckets for waits, in seconds.
const WAIT_BUCKETS: [f64; 10] = [0.000_5, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0];

/// Metrics of placement: as the entry instance asks for it and as the cell owner grants it.
#[derive(Debug)]
pub struct PlacementMetrics {
    granted: counter::Counter,
    refused: family::Family<label::ReasonLabel, counter::Counter>,
    wait: histogram::Histogram,
    owned_cells: gauge::Gauge,
    leases: gauge::Gauge,
}

impl PlacementMetrics {
    pub(crate) fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            granted: counter::Counter::default(),
            refused: family::Family::default(),
            wait: histogram::Histogram::new(WAIT_BUCKETS),
            owned_cells: gauge::Gauge::default(),
            leases: gauge::Gauge::default(),
        };
        registry.register(
            "placements",
            "Placements granted by this instance as the owner of a cell",
            metrics.granted.clone(),
        );
        registry.register(
            "placements_refused",
            "Placements refused by this instance as the owner of a cell",
            metrics.refused.clone(),
        );
        registry.register_with_unit(
            "placement_wait",
            "Time from asking a cell owner to its answer",
            registry::Unit::Seconds,
            metrics.wait.clone(),
        );
        registry.register(
            "cells_owned",
            "Cells that this instance owns",
            metrics.owned_cells.clone(),
        );
        registry.register(
            "leases",
            "Leases held in the cells that this instance owns",
            metrics.leases.clone(),
        );
        metrics
    }

    /// Counts a granted placement.
    pub fn granted(&self) {
        self.granted.inc();
    }

    /// Counts a refused placement.
    pub fn refused(&self, reason: impl Into<&'static str>) {
        let label = label::ReasonLabel {
            reason: reason.into(),
        };
        self.refused.get_or_create(&label).inc();
    }

    /// Records the time from asking a cell owner to its answer.
    pub fn waited(&self, taken: time::Duration) {
        self.wait.observe(taken.as_secs_f64());
    }

    /// Tells how many cells and leases this instance holds.
    pub fn owned(&self, cells: usize, leases: usize) {
        self.owned_cells.set(cells as i64);
        self.leases.set(leases as i64);
    }
}
