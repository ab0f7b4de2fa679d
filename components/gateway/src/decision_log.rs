//! Writes the decision log.

use std::sync;

use crate::decision_event;

/// A log line: an event with the fields that are common to all lines.
#[derive(serde::Serialize)]
struct DecisionLine<'a> {
    /// Wall-clock time in milliseconds since the Unix epoch.
    at: u64,
    /// Name of the instance.
    instance: &'a str,
    #[serde(flatten)]
    event: &'a decision_event::DecisionEvent<'a>,
}

/// Writes the decision log, one JSON object per line.
pub struct DecisionLog {
    instance: String,
    clock: sync::Arc<dyn clock::ClockSource>,
    writer: logs::LineWriter,
}

impl DecisionLog {
    /// Creates the log of an instance.
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

    /// Writes an event; the line is dropped when the writer's queue is full.
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
            Err(error) => eprintln!("cannot encode a log line; the line is dropped: {error}"),
        }
    }

    /// Returns the number of lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.writer.dropped_since_start()
    }
}
