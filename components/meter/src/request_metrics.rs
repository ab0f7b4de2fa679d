//! Metrics of model requests.

use std::time;

use prometheus_client::{
    metrics::{counter, family, gauge, histogram},
    registry,
};

use crate::{answer_timing, class_bound, label};

/// Upper bounds of the buckets for the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS: [f64; 10] = [0.05, 0.1, 0.2, 0.35, 0.5, 0.71, 1.0, 2.0, 5.0, 15.0];

/// Upper bounds of the buckets for the time between tokens, in seconds.
const TOKEN_GAP_BUCKETS: [f64; 9] = [0.01, 0.02, 0.03, 0.04, 0.055, 0.08, 0.12, 0.25, 1.0];

/// Metrics of model requests, as the entry instance sees them.
#[derive(Debug)]
pub struct RequestMetrics {
    arrived: counter::Counter,
    answers: family::Family<label::TimingLabel, counter::Counter>,
    first_token: family::Family<label::ClassLabel, histogram::Histogram>,
    token_gap: family::Family<label::ClassLabel, histogram::Histogram>,
    refused: family::Family<label::ReasonLabel, counter::Counter>,
    broken: family::Family<label::OutcomeLabel, counter::Counter>,
    cancelled: counter::Counter,
    prefilled_tokens: counter::Counter,
    wasted_tokens: family::Family<label::ReasonLabel, counter::Counter>,
    retries: counter::Counter,
    in_flight: gauge::Gauge,
    classes: class_bound::ClassBound,
}

impl RequestMetrics {
    pub(crate) fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            arrived: counter::Counter::default(),
            answers: family::Family::default(),
            first_token: family::Family::new_with_constructor(|| {
                histogram::Histogram::new(FIRST_TOKEN_BUCKETS)
            }),
            token_gap: family::Family::new_with_constructor(|| {
                histogram::Histogram::new(TOKEN_GAP_BUCKETS)
            }),
            refused: family::Family::default(),
            broken: family::Family::default(),
            cancelled: counter::Counter::default(),
            prefilled_tokens: counter::Counter::default(),
            wasted_tokens: family::Family::default(),
            retries: counter::Counter::default(),
            in_flight: gauge::Gauge::default(),
            classes: class_bound::ClassBound::default(),
        };
        metrics.register_answers(registry);
        metrics.register_failures(registry);
        metrics
    }

    fn register_answers(&self, registry: &mut registry::Registry) {
        registry.register(
            "requests",
            "Model requests that callers sent",
            self.arrived.clone(),
        );
        registry.register(
            "answers",
            "Whole answers by request class and by whether both latency targets were met",
            self.answers.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Time from the request to the first token",
            registry::Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register_with_unit(
            "token_gap",
            "Mean time between the tokens of an answer",
            registry::Unit::Seconds,
            self.token_gap.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests and calls under way",
            self.in_flight.clone(),
        );
    }

    fn register_failures(&self, registry: &mut registry::Registry) {
        registry.register(
            "requests_refused",
            "Model requests refused before any engine received them",
            self.refused.clone(),
        );
        registry.register(
            "requests_broken",
            "Model requests that failed after an engine received them",
            self.broken.clone(),
        );
        registry.register(
            "requests_cancelled",
            "Requests and calls whose caller went away",
            self.cancelled.clone(),
        );
        registry.register(
            "request_retries",
            "Attempts of model requests after the first",
            self.retries.clone(),
        );
        registry.register_with_unit(
            "prefilled",
            "Prompt tokens read by engines",
            registry::Unit::Other("tokens".to_owned()),
            self.prefilled_tokens.clone(),
        );
        registry.register_with_unit(
            "wasted_prefill",
            "Prompt tokens read for answers that were not delivered",
            registry::Unit::Other("tokens".to_owned()),
            self.wasted_tokens.clone(),
        );
    }

    /// Counts a request that arrived.
    pub fn arrived(&self) {
        self.arrived.inc();
    }

    /// Counts a whole answer.
    pub fn answered(&self, class: &str, timing: answer_timing::AnswerTiming) {
        let label = label::TimingLabel {
            class: self.classes.label(class),
            timing: timing.into(),
        };
        self.answers.get_or_create(&label).inc();
    }

    /// Records the time to the first token of a request.
    pub fn first_token(&self, class: &str, taken: time::Duration) {
        let label = label::ClassLabel {
            class: self.classes.label(class),
        };
        self.first_token
            .get_or_create(&label)
            .observe(taken.as_secs_f64());
    }

    /// Records the mean time between the tokens of an answer.
    pub fn token_gap(&self, class: &str, mean: time::Duration) {
        let label = label::ClassLabel {
            class: self.classes.label(class),
        };
        self.token_gap
            .get_or_create(&label)
            .observe(mean.as_secs_f64());
    }

    /// Counts a request refused before any engine received it.
    pub fn refused(&self, reason: impl Into<&'static str>) {
        let label = label::ReasonLabel {
            reason: reason.into(),
        };
        self.refused.get_or_create(&label).inc();
    }

    /// Counts a request that failed after an engine received it.
    pub fn broken(&self, outcome: impl Into<&'static str>) {
        let label = label::OutcomeLabel {
            outcome: outcome.into(),
        };
        self.broken.get_or_create(&label).inc();
    }

    /// Counts a request or call whose caller went away.
    pub fn cancelled(&self) {
        self.cancelled.inc();
    }

    /// Counts an attempt after the first.
    pub fn retried(&self) {
        self.retries.inc();
    }

    /// Counts prompt tokens that an engine has read.
    pub fn prefilled(&self, tokens: u32) {
        self.prefilled_tokens.inc_by(u64::from(tokens));
    }

    /// Counts prompt tokens that were read for an answer that is not delivered.
    pub fn wasted(&self, cause: impl Into<&'static str>, tokens: u32) {
        let label = label::ReasonLabel {
            reason: cause.into(),
        };
        self.wasted_tokens
            .get_or_create(&label)
            .inc_by(u64::from(tokens));
    }

    /// Tells how many requests and calls are under way.
    pub fn in_flight(&self, count: usize) {
        self.in_flight.set(count as i64);
    }
}
