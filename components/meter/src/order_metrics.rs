//! Metrics of engine orders.

use prometheus_client::{
    metrics::{counter, family, gauge},
    registry,
};

use crate::label;

/// Label of an order whose answer was lost.
const LOST: &str = "lost";

/// Metrics of the orders that this instance gives to engines.
#[derive(Debug)]
pub struct OrderMetrics {
    orders: family::Family<label::ActionLabel, counter::Counter>,
    answers: family::Family<label::AnswerLabel, counter::Counter>,
    open: gauge::Gauge,
}

impl OrderMetrics {
    pub(crate) fn register(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            orders: family::Family::default(),
            answers: family::Family::default(),
            open: gauge::Gauge::default(),
        };
        registry.register(
            "engine_orders",
            "Orders given to engines",
            metrics.orders.clone(),
        );
        registry.register(
            "engine_order_answers",
            "Answers of engines to orders",
            metrics.answers.clone(),
        );
        registry.register(
            "engine_orders_open",
            "Orders given and not settled",
            metrics.open.clone(),
        );
        metrics
    }

    /// Counts an order.
    pub fn ordered(&self, action: impl Into<&'static str>) {
        let label = label::ActionLabel {
            action: action.into(),
        };
        self.orders.get_or_create(&label).inc();
    }

    /// Counts an engine's answer; `None` stands for a lost one.
    pub fn answered(&self, answer: Option<impl Into<&'static str>>) {
        let label = label::AnswerLabel {
            answer: answer.map_or(LOST, Into::into),
        };
        self.answers.get_or_create(&label).inc();
    }

    /// Tells how many orders aren't settled.
    pub fn open(&self, count: usize) {
        self.open.set(count as i64);
    }
}
