//! Writes the decision log.

use std::sync;

use crate::decision_event;

/// A line with the fields that every line has.
#[derive(serde::Serialize)]
struct DecisionLine<'a> {
    /// Wall-clock time in milliseconds since the Unix epoch.
    at: u64,
    /// Instance.
    instance: &'a str,
    #[serde(flatten)]
    event: &'a decision_event::DecisionEvent<'a>,
}

/// Writes the decision log: one JSON object a line.
pub struct DecisionLog {
    instance: String,
    clock: sync::Arc<dyn clock::ClockSource>,
    writer: logs::LineWriter,
}

impl DecisionLog {
    /// Makes a log of an instance.
    #[must_use]
    pub fn new(
        instance: impl Into<String>,
        clock: sync::Arc<dyn clock::ClockSource>,
        writer: logs::LineWriter,
    ) -> Self {
        Self {
            instance: instance.into(),
            clock,
            writer,
        }
    }

    /// Writes a line.
    pub fn write(&self, event: &decision_event::DecisionEvent<'_>) {
        let line = DecisionLine {
            at: self.clock.wall_millis(),
            instance: &self.instance,
            event,
        };
        let weight = if event.is_low_priority() {
            logs::LineWeight::Lesser
        } else {
            logs::LineWeight::Greater
        };
        match serde_json::to_string(&line) {
            Ok(text) => self.writer.push(text, weight),
            Err(error) => eprintln!("a log line can't be encoded: {error}"),
        }
    }

    /// Returns how many lines were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.writer.dropped_since_start()
    }
}
