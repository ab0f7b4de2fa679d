//! What is read from the engines of a cell, and when.

use std::{collections, time};

use crate::{cell_book, engine_reach, keys, output};

/// Time between two reads of the running list of an engine that answers.
const RUNNING_INTERVAL: time::Duration = time::Duration::from_secs(20);

/// Time between two tries to reach an engine that doesn't answer.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time between two reads of an engine's cache events.
const EVENT_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// When one engine is read next, and from which cache event on.
#[derive(Clone, Copy, Debug, Default)]
struct ReadTimes {
    running: clock::Timestamp,
    events: clock::Timestamp,
    load: clock::Timestamp,
    after_event: u64,
}

/// What is read from the engines of a cell, and when.
#[derive(Clone, Debug)]
pub struct TimedReads {
    times: collections::BTreeMap<keys::EngineKey, ReadTimes>,
    next_wake: clock::Timestamp,
}

impl TimedReads {
    /// Makes reads that are all due.
    pub const fn new(now: clock::Timestamp) -> Self {
        Self {
            times: collections::BTreeMap::new(),
            next_wake: now,
        }
    }

    /// Returns when the next read is due.
    pub const fn next_wake(&self) -> clock::Timestamp {
        self.next_wake
    }

    /// Looks for due reads again at `at`.
    pub fn wake_at(&mut self, at: clock::Timestamp) {
        self.next_wake = self.next_wake.min(at);
    }

    /// Asks for the running list of an engine no later than `at`.
    pub fn read_running_at(&mut self, key: keys::EngineKey, at: clock::Timestamp) {
        let times = self.times.entry(key).or_default();
        times.running = times.running.min(at);
        self.next_wake = self.next_wake.min(at);
    }

    /// Notes the last cache event that was read.
    pub fn note_event(&mut self, key: keys::EngineKey, sequence: u64) {
        let times = self.times.entry(key).or_default();
        times.after_event = times.after_event.max(sequence);
    }

    /// Appends the reads that are due.
    pub fn emit_due(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_book::CellBook,
        report_interval: Option<time::Duration>,
        outputs: &mut Vec<output::Output>,
    ) {
        if now < self.next_wake {
            return;
        }
        self.next_wake = clock::Timestamp::MAX;
        for (key, engine) in cell_state.engines() {
            let times = self.times.entry(key).or_default();
            let name = &engine.entry.name;
            if times.running <= now {
                let up = engine.reach == engine_reach::EngineReach::Up;
                let interval = if up { RUNNING_INTERVAL } else { PROBE_INTERVAL };
                times.running = now + interval;
                outputs.push(output::Output::ReadRunning(name.clone()));
            }
            if times.events <= now && engine.role != note::EngineRole::Decode {
                times.events = now + EVENT_INTERVAL;
                let read = output::Output::ReadCacheEvents(name.clone(), times.after_event);
                outputs.push(read);
            }
            if let Some(interval) = report_interval
                && times.load <= now
            {
                times.load = now + interval;
                outputs.push(output::Output::ReadLoad(name.clone()));
            }
            let mut next = times.running;
            if engine.role != note::EngineRole::Decode {
                next = next.min(times.events);
            }
            if report_interval.is_some() {
                next = next.min(times.load);
            }
            self.next_wake = self.next_wake.min(next);
        }
    }
}
