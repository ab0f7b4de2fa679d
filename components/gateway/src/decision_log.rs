//! Writes the decision log.

use std::sync;

use crate::{decision_event, shared_core};

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

    /// Writes the changes of the list of servers since the last call; `source` as in
    /// [`decision_event::DecisionEvent::ViewChanged`].
    pub(crate) fn write_list_changes(&self, source: &str, core: &shared_core::SharedCore) {
        let (events, revision, age) = core.decide(|core, now| {
            let events = core.take_list_events();
            let tracker = core.tracker();
            (events, tracker.view().position.revision, tracker.age(now))
        });
        for event in events {
            self.write(&decision_event::DecisionEvent::ListChanged {
                source,
                server: event.server.as_str(),
                change: event.change.into(),
                revision,
                view_age_ms: age.map(crate::gateway::millis),
            });
        }
    }

    /// Returns the number of lines that were dropped since the start.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.writer.dropped_since_start()
    }
}
