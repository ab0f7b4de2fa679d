//! One backend server or engine as this instance knows it.

use std::{collections, time};

use crate::{backend_entry, backend_health, engine_usage, stream_lease};

slotmap::new_key_type! {
    /// Names a backend server of the book.
    pub struct BackendKey;
}

/// Tokens that an engine reads in a millisecond until it has shown its own rate.
pub const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// Weight of a new reading in the rate of an engine.
const RATE_SMOOTHING: f64 = 0.2;

/// Time that an engine which refused for lack of room receives nothing.
const DECODE_REFUSAL_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Time that a prefill engine which refused receives nothing.
const PREFILL_REFUSAL_PAUSE: time::Duration = time::Duration::from_millis(1_500);

/// Time that a prefill engine whose results were gone reads nothing.
const LOST_RESULT_PAUSE: time::Duration = time::Duration::from_millis(1_500);

/// Longest time that an engine takes to go over to another stage.
const STAGE_CHANGE_PAUSE: time::Duration = time::Duration::from_secs(8);

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
    pub peer_usage: engine_usage::EngineUsage,
    /// Streams of requests that wait at other instances and are expected to be placed here.
    pub expected: Vec<engine_usage::StreamLoad>,
    /// Prompt tokens of such requests that are expected to be read here.
    pub expected_prefill_tokens: u32,
    /// How well it answers.
    pub health: backend_health::BackendHealth,
    /// Prompt tokens read in a millisecond.
    pub prefill_rate: f64,
    full_until: clock::Moment,
    /// Moment until which no instance is to send it anything.
    paused_for_all_until: clock::Moment,
    /// Whether another instance tells that nothing is to be sent to it.
    pub paused_by_peer: bool,
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
            peer_usage: engine_usage::EngineUsage::default(),
            expected: Vec::new(),
            expected_prefill_tokens: 0,
            health: backend_health::BackendHealth::default(),
            prefill_rate: DEFAULT_PREFILL_TOKENS_PER_MS,
            full_until: clock::Moment::default(),
            paused_for_all_until: clock::Moment::default(),
            paused_by_peer: false,
        }
    }

    /// Returns whether it may receive new work.
    #[must_use]
    pub fn accepts_work(&self, now: clock::Moment) -> bool {
        let is_paused = self.paused_by_peer || self.is_paused_for_all(now);
        self.is_current() && self.health.is_usable(now) && now >= self.full_until && !is_paused
    }

    /// Returns whether no instance is to send it anything, as far as this one knows.
    #[must_use]
    pub fn is_paused_for_all(&self, now: clock::Moment) -> bool {
        now < self.paused_for_all_until
    }

    /// Takes in that a prefill result was gone before it was taken.
    pub fn result_lost(&mut self, now: clock::Moment) {
        self.paused_for_all_until = now + LOST_RESULT_PAUSE;
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
        self.own_running + self.peer_usage.running + expected
    }

    /// Returns the prompt tokens of all instances that aren't read yet.
    #[must_use]
    pub const fn prefill_tokens(&self) -> u32 {
        self.own_prefill_tokens + self.peer_usage.prefill_tokens + self.expected_prefill_tokens
    }

    /// Returns the streams of all instances that hold memory there.
    pub fn streams(&self) -> impl Iterator<Item = engine_usage::StreamLoad> {
        let own = self.own_streams.values();
        own.chain(&self.peer_usage.streams)
            .chain(&self.expected)
            .copied()
    }

    /// Returns the time until a prompt sent now begins to be read.
    #[must_use]
    pub fn prefill_wait(&self) -> time::Duration {
        self.prefill_duration(self.prefill_tokens())
    }

    /// Returns the time that reading a number of tokens takes.
    #[must_use]
    pub fn prefill_duration(&self, tokens: u32) -> time::Duration {
        time::Duration::from_secs_f64(f64::from(tokens) / self.prefill_rate / 1_000.0)
    }

    /// Takes in that a prompt of `tokens` behind `ahead` others was read in `took`.
    ///
    /// Some of those ahead may have been read before, so that the rate is at most what this gives.
    pub fn record_prefill(&mut self, tokens: u32, ahead: u32, took: time::Duration) {
        let millis = took.as_secs_f64() * 1_000.0;
        if millis < 1.0 {
            return;
        }
        let rate = f64::from(tokens + ahead) / millis;
        if ahead > 0 && rate > self.prefill_rate {
            return;
        }
        self.prefill_rate += (rate - self.prefill_rate) * RATE_SMOOTHING;
        self.prefill_rate = self.prefill_rate.max(1.0);
    }

    /// Takes in that the engine had no room.
    ///
    /// A prefill engine refuses while it goes over to another stage, which takes seconds.
    pub fn record_full(&mut self, now: clock::Moment) {
        let pause = match self.entry.stage {
            Some(backend_entry::EngineStage::Prefill) => PREFILL_REFUSAL_PAUSE,
            _ => DECODE_REFUSAL_PAUSE,
        };
        self.full_until = self.full_until.max(now + pause);
    }

    /// Sends the engine nothing while it goes over to another stage.
    pub fn start_stage_change(&mut self, now: clock::Moment) {
        self.paused_for_all_until = now + STAGE_CHANGE_PAUSE;
    }

    /// Takes over a newer entry.
    pub fn update_entry(&mut self, entry: &backend_entry::BackendEntry) {
        if entry.stage != self.entry.stage {
            self.full_until = clock::Moment::default();
            self.paused_for_all_until = clock::Moment::default();
        }
        self.entry = entry.clone();
        self.listed = true;
    }
}
