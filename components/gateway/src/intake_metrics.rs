//! Metrics of what the instance takes in.

use prometheus_client::{
    metrics::{counter, family, gauge},
    registry,
};

/// Label with the class of a connection, or the reason for which one ended or a body was refused.
#[derive(Clone, Debug, Eq, Hash, PartialEq, prometheus_client::encoding::EncodeLabelSet)]
struct IntakeLabel {
    name: &'static str,
}

type CounterFamily = family::Family<IntakeLabel, counter::Counter>;

/// Metrics of what the instance takes in.
#[derive(Debug, Default)]
pub(crate) struct IntakeMetrics {
    connections: gauge::Gauge,
    held_bytes: gauge::Gauge,
    ended: CounterFamily,
    refused_connections: CounterFamily,
    refused_bodies: CounterFamily,
}

impl IntakeMetrics {
    /// Adds the metrics to a registry.
    pub(crate) fn register(&self, registry: &mut registry::Registry) {
        registry.register(
            "relay_intake_connections",
            "Open connections of callers, instances and operators",
            self.connections.clone(),
        );
        registry.register(
            "relay_intake_held_bytes",
            "Memory counted for these connections and their requests",
            self.held_bytes.clone(),
        );
        registry.register(
            "relay_intake_ended",
            "Connections ended before their clients closed them, by reason",
            self.ended.clone(),
        );
        registry.register(
            "relay_intake_refused_connections",
            "Connections that had no place, by class",
            self.refused_connections.clone(),
        );
        registry.register(
            "relay_intake_refused_bodies",
            "Bodies that weren't read to their end, by reason",
            self.refused_bodies.clone(),
        );
    }

    /// Updates the metrics from an intake.
    pub(crate) fn update(&self, intake: &intake::Intake) {
        let (connections, held_bytes) = intake.usage();
        self.connections.set(signed(connections));
        self.held_bytes.set(signed(held_bytes));
        let counts = intake.counts();
        raise(&self.ended, counts.ended());
        raise(&self.refused_connections, counts.refused_connections());
        raise(&self.refused_bodies, counts.refused_bodies());
    }
}

/// Raises counters to counts, which only grow.
fn raise(family: &CounterFamily, counts: impl Iterator<Item = (&'static str, u64)>) {
    for (name, count) in counts {
        let counter = family.get_or_create(&IntakeLabel { name });
        counter.inc_by(count.saturating_sub(counter.get()));
    }
}

fn signed(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
