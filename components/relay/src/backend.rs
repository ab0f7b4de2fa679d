//! One backend server or engine as this instance knows it.

use std::{collections, time};

use crate::{backend_entry, backend_health, engine_usage, stream_lease};

slotmap::new_key_type! {
    /// Names a backend server of the book.
    pub struct BackendKey;
}

/// Tokens that an engine reads in a millisecond until it has shown its own rate.
pub const USUAL_PREFILL_RATE: f64 = 50.0;

/// Weight of a new reading in the rate of an engine.
const RATE_WEIGHT: f64 = 0.2;

/// Time that an engine which refused for lack of room receives nothing.
const FULL_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Time that a prefill engine which refused receives nothing.
const PREFILL_PAUSE: time::Duration = time::Duration::from_millis(1_500);

/// Time that a prefill engine whose results were gone reads nothing.
const LOST_PAUSE: time::Duration = time::Duration::from_millis(1_500);

/// Longest time that an engine takes to go over to another stage.
const CHANGE_PAUSE: time::Duration = time::Duration::from_secs(8);

/// One backend server or engine as this instance knows it.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its entry in the platform's list.
    pub entry: backend_entry::BackendEntry,
    /// Whether the list still holds it.
    pub listed: bool,
    /// Requests of this instance that are under way there.
    pub own_running: u32,
    /// Prompt tokens of this instance that aren't read yet.
    pub own_prefill_tokens: u32,
    /// Streams of this instance that hold memory there.
    pub own_streams: collections::BTreeMap<stream_lease::StreamKey, engine_usage::StreamLoad>,
    /// What the other instances use of it.
    pub foreign: engine_usage::EngineUsage,
    /// Streams of requests that wait at other instances and are expected to be placed here.
    pub expected: Vec<engine_usage::StreamLoad>,
    /// Prompt tokens of such requests that are expected to be read here.
    pub expected_prefill_tokens: u32,
    /// How well it answers.
    pub health: backend_health::BackendHealth,
    /// Prompt tokens read in a millisecond.
    pub prefill_rate: f64,
    full_until: clock::Timestamp,
    /// Moment until which no instance is to send it anything.
    paused_for_all_until: clock::Timestamp,
    /// Whether another instance tells that nothing is to be sent to it.
    pub told_paused: bool,
}

impl Backend {
    /// Makes a backend server that nothing uses.
    #[must_use]
    pub fn new(entry: backend_entry::BackendEntry) -> Self {
        Self {
            entry,
            listed: true,
            own_running: 0,
            own_prefill_tokens: 0,
            own_streams: collections::BTreeMap::new(),
            foreign: engine_usage::EngineUsage::default(),
            expected: Vec::new(),
            expected_prefill_tokens: 0,
            health: backend_health::BackendHealth::default(),
            prefill_rate: USUAL_PREFILL_RATE,
            full_until: clock::Timestamp::default(),
            paused_for_all_until: clock::Timestamp::default(),
            told_paused: false,
        }
    }

    /// Returns whether it may receive new work.
    #[must_use]
    pub fn takes_work(&self, now: clock::Timestamp) -> bool {
        let is_paused = self.told_paused || self.is_paused_for_all(now);
        self.is_current() && self.health.is_usable(now) && now >= self.full_until && !is_paused
    }

    /// Returns whether no instance is to send it anything, as far as this one knows.
    #[must_use]
    pub fn is_paused_for_all(&self, now: clock::Timestamp) -> bool {
        now < self.paused_for_all_until
    }

    /// Takes in that a prefill result was gone before it was taken.
    pub fn record_lost_result(&mut self, now: clock::Timestamp) {
        self.paused_for_all_until = now + LOST_PAUSE;
    }

    /// Returns whether it is listed and isn't leaving.
    #[must_use]
    pub const fn is_current(&self) -> bool {
        self.listed && !self.entry.leaving
    }

    /// Returns whether this instance uses nothing of it.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.own_running == 0 && self.own_prefill_tokens == 0 && self.own_streams.is_empty()
    }

    /// Returns what this instance uses of it.
    #[must_use]
    pub fn own_usage(&self) -> engine_usage::EngineUsage {
        engine_usage::EngineUsage {
            running: self.own_running,
            prefill_tokens: self.own_prefill_tokens,
            streams: self.own_streams.values().copied().collect(),
        }
    }

    /// Returns the requests of all instances that are under way there.
    #[must_use]
    pub fn running(&self) -> u32 {
        let expected = u32::try_from(self.expected.len()).unwrap_or(u32::MAX);
        self.own_running + self.foreign.running + expected
    }

    /// Returns the prompt tokens of all instances that aren't read yet.
    #[must_use]
    pub const fn prefill_tokens(&self) -> u32 {
        self.own_prefill_tokens + self.foreign.prefill_tokens + self.expected_prefill_tokens
    }

    /// Returns the streams of all instances that hold memory there.
    pub fn streams(&self) -> impl Iterator<Item = engine_usage::StreamLoad> {
        let own = self.own_streams.values();
        own.chain(&self.foreign.streams)
            .chain(&self.expected)
            .copied()
    }

    /// Returns the time until a prompt sent now begins to be read.
    #[must_use]
    pub fn prefill_wait(&self) -> time::Duration {
        self.read_time(self.prefill_tokens())
    }

    /// Returns the time that reading a number of tokens takes.
    #[must_use]
    pub fn read_time(&self, tokens: u32) -> time::Duration {
        time::Duration::from_secs_f64(f64::from(tokens) / self.prefill_rate / 1_000.0)
    }

    /// Takes in that a prompt of `tokens` behind `ahead` others was read in `took`.
    ///
    /// Some of those ahead may have been read before, so that the rate is at most what this gives.
    pub fn prompt_read(&mut self, tokens: u32, ahead: u32, took: time::Duration) {
        let millis = took.as_secs_f64() * 1_000.0;
        if millis < 1.0 {
            return;
        }
        let rate = f64::from(tokens + ahead) / millis;
        if ahead > 0 && rate > self.prefill_rate {
            return;
        }
        self.prefill_rate += (rate - self.prefill_rate) * RATE_WEIGHT;
        self.prefill_rate = self.prefill_rate.max(1.0);
    }

    /// Takes in that the engine had no room.
    ///
    /// A prefill engine refuses while it goes over to another stage, which takes seconds.
    pub fn was_full(&mut self, now: clock::Timestamp) {
        let pause = match self.entry.stage {
            Some(backend_entry::EngineStage::Prefill) => PREFILL_PAUSE,
            _ => FULL_PAUSE,
        };
        self.full_until = self.full_until.max(now + pause);
    }

    /// Sends the engine nothing while it goes over to another stage.
    pub fn changes_stage(&mut self, now: clock::Timestamp) {
        self.paused_for_all_until = now + CHANGE_PAUSE;
    }

    /// Takes over a newer entry.
    pub fn take_entry(&mut self, entry: &backend_entry::BackendEntry) {
        if entry.stage != self.entry.stage {
            self.full_until = clock::Timestamp::default();
            self.paused_for_all_until = clock::Timestamp::default();
        }
        self.entry = entry.clone();
        self.listed = true;
    }
}
