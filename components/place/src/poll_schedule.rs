//! The schedule of polls of a cell's engines.

use std::{collections, time};

use crate::{cell_state, engine_health, keys, output};

/// Interval between reads of the running list of an engine that responds.
const RUNNING_INTERVAL: time::Duration = time::Duration::from_secs(20);

/// Interval between attempts to reach an engine that does not respond.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Interval between reads of an engine's cache events.
const EVENT_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Times of the next reads from one engine and the last cache event read.
#[derive(Clone, Copy, Debug, Default)]
struct PollTimes {
    running: clock::Timestamp,
    events: clock::Timestamp,
    load: clock::Timestamp,
    last_event: u64,
}

/// The schedule of polls of a cell's engines.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    times: collections::BTreeMap<keys::EngineKey, PollTimes>,
    next_wake: clock::Timestamp,
}

impl PollSchedule {
    /// Creates a schedule in which every read is due at `now`.
    pub const fn new(now: clock::Timestamp) -> Self {
        Self {
            times: collections::BTreeMap::new(),
            next_wake: now,
        }
    }

    /// Returns when the next poll is due.
    pub const fn next_wake(&self) -> clock::Timestamp {
        self.next_wake
    }

    /// Schedules the next check for due polls no later than `at`.
    pub fn wake_at(&mut self, at: clock::Timestamp) {
        self.next_wake = self.next_wake.min(at);
    }

    /// Schedules a read of an engine's running list no later than `at`.
    pub fn poll_running_at(&mut self, key: keys::EngineKey, at: clock::Timestamp) {
        let times = self.times.entry(key).or_default();
        times.running = times.running.min(at);
        self.next_wake = self.next_wake.min(at);
    }

    /// Records the sequence number of a cache event that was read.
    pub fn record_event(&mut self, key: keys::EngineKey, sequence: u64) {
        let times = self.times.entry(key).or_default();
        times.last_event = times.last_event.max(sequence);
    }

    /// Appends the reads that are due to `outputs`.
    pub fn emit_due(
        &mut self,
        now: clock::Timestamp,
        cell_state: &cell_state::CellState,
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
                let up = engine.health == engine_health::EngineHealth::Up;
                let interval = if up { RUNNING_INTERVAL } else { PROBE_INTERVAL };
                times.running = now + interval;
                outputs.push(output::Output::ReadRunning(name.clone()));
            }
            if times.events <= now && engine.role != note::EngineRole::Decode {
                times.events = now + EVENT_INTERVAL;
                let read = output::Output::ReadCacheEvents(name.clone(), times.last_event);
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
