//! Metrics of the membership.

use prometheus_client::{
    metrics::{counter, family, gauge},
    registry,
};

use crate::label;

/// Metrics of the membership as this instance sees it.
#[derive(Debug)]
pub struct MemberMetrics {
    members: family::Family<label::StateLabel, gauge::Gauge>,
    changes: counter::Counter,
    fresh: gauge::Gauge,
    partitioned: gauge::Gauge,
}

impl MemberMetrics {
    pub(crate) fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            members: family::Family::default(),
            changes: counter::Counter::default(),
            fresh: gauge::Gauge::default(),
            partitioned: gauge::Gauge::default(),
        };
        registry.register(
            "instances",
            "Instances by what this one believes of them",
            metrics.members.clone(),
        );
        registry.register(
            "membership_changes",
            "Changes of the membership as this instance sees it",
            metrics.changes.clone(),
        );
        registry.register(
            "membership_fresh",
            "Whether the membership may be acted on",
            metrics.fresh.clone(),
        );
        registry.register(
            "membership_partitioned",
            "Whether too many instances are silent for single failures",
            metrics.partitioned.clone(),
        );
        metrics
    }

    /// Counts a change of the membership and tells the new one.
    pub fn changed<State: Into<&'static str> + Copy>(
        &self,
        members: impl IntoIterator<Item = (State, usize)>,
        fresh: bool,
        partitioned: bool,
    ) {
        self.changes.inc();
        for (state, count) in members {
            let label = label::StateLabel {
                state: state.into(),
            };
            self.members.get_or_create(&label).set(count as i64);
        }
        self.fresh.set(i64::from(fresh));
        self.partitioned.set(i64::from(partitioned));
    }
}
