//! Metrics of the process.

use std::{sync::atomic, time};

use prometheus_client::{
    metrics::{counter, gauge, info},
    registry,
};

use crate::{label, process_usage};

/// Metrics of the process.
#[derive(Debug)]
pub struct ProcessMetrics {
    control_time: counter::Counter<f64, atomic::AtomicU64>,
    resident: gauge::Gauge,
}

impl ProcessMetrics {
    pub(crate) fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            control_time: counter::Counter::default(),
            resident: gauge::Gauge::default(),
        };
        registry.register(
            "build",
            "Version of the program",
            info::Info::new(label::VersionLabel {
                version: env!("CARGO_PKG_VERSION").to_owned(),
            }),
        );
        registry.register_with_unit(
            "control_cpu",
            "Processor time of the control thread",
            registry::Unit::Seconds,
            metrics.control_time.clone(),
        );
        registry.register_with_unit(
            "resident_memory",
            "Resident memory of the process",
            registry::Unit::Bytes,
            metrics.resident.clone(),
        );
        metrics
    }

    /// Tells the processor time of the control thread since its start.
    pub fn control_time(&self, used: time::Duration) {
        let added = used.as_secs_f64() - self.control_time.get();
        if added > 0.0 {
            self.control_time.inc_by(added);
        }
    }

    /// Reads the memory of the process.
    pub(crate) fn refresh(&self) {
        if let Some(bytes) = process_usage::resident_bytes() {
            self.resident.set(bytes.cast_signed());
        }
    }
}
