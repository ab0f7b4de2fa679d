//! Metrics of calls to plain services.

use prometheus_client::{
    metrics::{counter, family},
    registry,
};

use crate::label;

/// Label of calls that may run more than once.
const IDEMPOTENT: &str = "idempotent";

/// Label of calls that run at most once.
const NON_IDEMPOTENT: &str = "non_idempotent";

/// Metrics of calls to plain services.
#[derive(Debug)]
pub struct CallMetrics {
    ended: family::Family<label::CallLabel, counter::Counter>,
    failures: family::Family<label::ReasonLabel, counter::Counter>,
    retries: counter::Counter,
}

impl CallMetrics {
    pub(crate) fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            ended: family::Family::default(),
            failures: family::Family::default(),
            retries: counter::Counter::default(),
        };
        registry.register(
            "calls",
            "Calls that ended, by kind and by what is known of them",
            metrics.ended.clone(),
        );
        registry.register(
            "calls_failed",
            "Calls without an answer of a backend server",
            metrics.failures.clone(),
        );
        registry.register(
            "call_retries",
            "Attempts of calls after the first",
            metrics.retries.clone(),
        );
        metrics
    }

    /// Counts a call that ended.
    pub fn ended(&self, idempotent: bool, outcome: impl Into<&'static str>) {
        let label = label::CallLabel {
            kind: if idempotent {
                IDEMPOTENT
            } else {
                NON_IDEMPOTENT
            },
            outcome: outcome.into(),
        };
        self.ended.get_or_create(&label).inc();
    }

    /// Counts a call without an answer of a backend server.
    pub fn failed(&self, failure: impl Into<&'static str>) {
        let label = label::ReasonLabel {
            reason: failure.into(),
        };
        self.failures.get_or_create(&label).inc();
    }

    /// Counts an attempt after the first.
    pub fn retried(&self) {
        self.retries.inc();
    }
}
