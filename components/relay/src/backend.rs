//! State that this instance keeps for one backend server or engine.

use std::{collections, time};

use crate::{
    backend_entry, backend_health, capacity_sample, capacity_update, engine_usage, instance_update,
    prefill_model, server_capacity, server_reach, software_key, stream_lease,
};

slotmap::new_key_type! {
    /// Key of a backend server in the registry.
    pub struct BackendKey;
}

/// Pause before the next request to a decode engine that refused one for lack of memory.
const DECODE_REFUSAL_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Pause before the next request to a prefill engine that refused one.
const PREFILL_REFUSAL_PAUSE: time::Duration = time::Duration::from_millis(1_500);

/// Pause before the next request to a prefill engine that lost prefill results.
const LOST_RESULT_PAUSE: time::Duration = time::Duration::from_millis(1_500);

/// Pause before the next request to an engine that was ordered to change stage, which is the
/// longest duration of the change.
const STAGE_CHANGE_PAUSE: time::Duration = time::Duration::from_secs(8);

/// State that this instance keeps for one backend server or engine.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Entry in the platform's list.
    pub entry: backend_entry::BackendEntry,
    /// Hash of the incarnation from [`crate::incarnation_hash`].
    pub incarnation: u64,
    /// Version of the server's software.
    pub software: software_key::SoftwareKey,
    /// Whether the platform's list still contains the entry.
    pub listed: bool,
    /// Whether the server has reported in an answer, to this instance or another one, that it is
    /// draining.
    pub draining: bool,
    /// Requests of this instance that the server is running.
    pub own_running: u32,
    /// Prompt tokens of this instance that are queued for prefill.
    pub own_prefill_tokens: u32,
    /// Streams of this instance that occupy memory of the engine.
    pub own_streams: collections::BTreeMap<stream_lease::StreamKey, engine_usage::StreamLoad>,
    /// Usage by the other instances.
    pub peer_usage: engine_usage::EngineUsage,
    /// Streams of requests that wait at other instances and are expected to be placed on this
    /// engine.
    pub expected: Vec<engine_usage::StreamLoad>,
    /// Prompt tokens of requests that wait at other instances and are expected to be prefilled on
    /// this engine.
    pub expected_prefill_tokens: u32,
    /// Failure share, latency and ejection.
    pub health: backend_health::BackendHealth,
    /// What requests of this instance show about its path to the server.
    pub reach: server_reach::ServerReach,
    /// Duration of a prefill on an engine of the service.
    prefill_model: prefill_model::PrefillModel,
    /// Rate, and the number of requests that the server takes well.
    pub capacity: server_capacity::ServerCapacity,
    reported_capacity: capacity_update::ReportedCapacity,
    /// End of the pause after a refusal, which applies only to this instance.
    refusal_pause_until: clock::Timestamp,
    /// Time until which the server has asked this instance to send nothing.
    backoff_until: clock::Timestamp,
    /// End of the pause that applies to all instances.
    paused_for_all_until: clock::Timestamp,
    /// Whether another instance reports a pause that applies to all instances.
    pub paused_by_peer: bool,
    /// Time until which this instance reports the server as unreachable.
    unreachable_until: clock::Timestamp,
    /// Whether instances of several data centres report the server as unreachable.
    pub unreachable_by_peers: bool,
}

impl Backend {
    /// Creates the state of an unused backend server.
    #[must_use]
    pub fn new(entry: backend_entry::BackendEntry) -> Self {
        Self {
            incarnation: instance_update::incarnation_hash(&entry),
            software: software_key::SoftwareKey::of(&entry),
            entry,
            listed: true,
            draining: false,
            own_running: 0,
            own_prefill_tokens: 0,
            own_streams: collections::BTreeMap::new(),
            peer_usage: engine_usage::EngineUsage::default(),
            expected: Vec::new(),
            expected_prefill_tokens: 0,
            health: backend_health::BackendHealth::default(),
            reach: server_reach::ServerReach::default(),
            prefill_model: prefill_model::PrefillModel::default(),
            capacity: server_capacity::ServerCapacity::default(),
            reported_capacity: capacity_update::ReportedCapacity::default(),
            refusal_pause_until: clock::Timestamp::default(),
            backoff_until: clock::Timestamp::default(),
            paused_for_all_until: clock::Timestamp::default(),
            paused_by_peer: false,
            unreachable_until: clock::Timestamp::default(),
            unreachable_by_peers: false,
        }
    }

    /// Returns whether the server may receive new work from this instance.
    #[must_use]
    pub fn accepts_work(&self, now: clock::Timestamp) -> bool {
        let is_paused = self.paused_by_peer || self.is_paused_for_all(now);
        self.may_receive(now)
            && self.health.is_usable(now)
            && now >= self.refusal_pause_until
            && !is_paused
            && !self.unreachable_by_peers
    }

    /// Returns whether the server is willing to receive requests from this instance, whatever its
    /// health and load.
    #[must_use]
    pub fn may_receive(&self, now: clock::Timestamp) -> bool {
        self.is_current() && now >= self.backoff_until
    }

    /// Returns the remaining time for which the server has asked this instance to send nothing.
    #[must_use]
    pub fn backoff(&self, now: clock::Timestamp) -> time::Duration {
        self.backoff_until.since(now)
    }

    /// Sends the server nothing for `wait`.
    pub fn start_backoff(&mut self, now: clock::Timestamp, wait: time::Duration) {
        self.backoff_until = self.backoff_until.max(now + wait);
    }

    /// Records the outcome of a request that took `latency`; returns whether the outcome ejected the
    /// server.
    pub fn record_outcome(
        &mut self,
        now: clock::Timestamp,
        outcome: backend_health::BackendOutcome,
        latency: time::Duration,
    ) -> bool {
        self.reach.record(now, outcome, latency);
        let outcome = outcome.after(latency);
        let ejected = self.health.record(now, outcome, latency);
        if ejected && outcome == backend_health::BackendOutcome::Unreachable {
            self.unreachable_until = self.health.ejected_until(now).unwrap_or(now);
        }
        ejected
    }

    /// Records that the server answers again after this instance had lost the path to it. What was
    /// observed meanwhile doesn't count against the server.
    pub fn record_return(&mut self, now: clock::Timestamp) {
        self.reach.record_answer(now);
        self.health.readmit();
        self.unreachable_until = clock::Timestamp::default();
    }

    /// Returns whether this instance found that no connection to the server can be opened, and
    /// sends it nothing for that reason.
    #[must_use]
    pub fn is_unreachable(&self, now: clock::Timestamp) -> bool {
        now < self.unreachable_until
    }

    /// Returns whether this instance has started a pause that applies to all instances.
    #[must_use]
    pub fn is_paused_for_all(&self, now: clock::Timestamp) -> bool {
        now < self.paused_for_all_until
    }

    /// Pauses the engine for all instances because a prefill result was lost before its transfer.
    pub fn record_lost_result(&mut self, now: clock::Timestamp) {
        self.paused_for_all_until = now + LOST_RESULT_PAUSE;
    }

    /// Returns whether the server is listed and not draining.
    #[must_use]
    pub const fn is_current(&self) -> bool {
        self.listed && !self.entry.leaving && !self.draining
    }

    /// Returns whether this instance has no work on the server.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.own_running == 0 && self.own_prefill_tokens == 0 && self.own_streams.is_empty()
    }

    /// Returns the usage by this instance.
    #[must_use]
    pub fn own_usage(&self) -> engine_usage::EngineUsage {
        engine_usage::EngineUsage {
            running: self.own_running,
            prefill_tokens: self.own_prefill_tokens,
            streams: self.own_streams.values().copied().collect(),
        }
    }

    /// Returns the requests of all instances that are running on the server.
    #[must_use]
    pub fn running(&self) -> u32 {
        let expected = u32::try_from(self.expected.len()).unwrap_or(u32::MAX);
        self.own_running + self.peer_usage.running + expected
    }

    /// Returns the prompt tokens of all instances that are queued for prefill.
    #[must_use]
    pub const fn prefill_tokens(&self) -> u32 {
        self.own_prefill_tokens + self.peer_usage.prefill_tokens + self.expected_prefill_tokens
    }

    /// Returns the streams of all instances that occupy memory of the engine.
    pub fn streams(&self) -> impl Iterator<Item = engine_usage::StreamLoad> {
        let own = self.own_streams.values();
        own.chain(&self.peer_usage.streams)
            .chain(&self.expected)
            .copied()
    }

    /// Returns the time until the prefill of a prompt sent now starts.
    #[must_use]
    pub fn prefill_wait(&self) -> time::Duration {
        self.prefill_model
            .occupancy(self.prefill_tokens())
            .mul_f64(self.prefill_slowness())
    }

    /// Returns the duration of the prefill of `tokens` tokens.
    #[must_use]
    pub fn prefill_duration(&self, tokens: u32) -> time::Duration {
        self.expected_prefill(tokens)
            .mul_f64(self.prefill_slowness())
    }

    /// Returns the duration of the prefill of `tokens` tokens that is expected of the engines of the
    /// service.
    pub(crate) fn expected_prefill(&self, tokens: u32) -> time::Duration {
        self.prefill_model.duration(tokens)
    }

    /// Returns the slowness of a prefill engine. That of a decode engine tells of its steps.
    fn prefill_slowness(&self) -> f64 {
        match self.entry.stage {
            Some(backend_entry::EngineStage::Prefill) => self.capacity.slowness(),
            _ => 1.0,
        }
    }

    /// Sets the model of the prefill duration on the engines of the service.
    pub const fn set_prefill_model(&mut self, model: prefill_model::PrefillModel) {
        self.prefill_model = model;
    }

    /// Adds an observation, unless it is of another stage.
    pub(crate) fn observe_capacity(
        &mut self,
        now: clock::Timestamp,
        sample: &capacity_sample::CapacitySample,
    ) {
        if sample.stage != self.entry.stage {
            return;
        }
        if let Some(log_time) = sample.log_time() {
            let slots = self.entry.slots;
            self.capacity.observe(now, slots, sample.running, log_time);
        }
    }

    /// Recomputes the rate of a prefill engine.
    pub(crate) fn refresh_prefill_rate(&mut self, now: clock::Timestamp) {
        let equal_ratio = server_capacity::equal_ratio(self.entry.stage);
        self.capacity.update_time(now);
        self.capacity
            .update_slowness(now, server_capacity::TYPICAL_PREFILL, equal_ratio);
    }

    /// Returns the rate and the limit if they differ much from those returned before.
    pub(crate) fn capacity_update(&mut self) -> Option<capacity_update::CapacityUpdate> {
        let current = capacity_update::ReportedCapacity {
            slowness: self.capacity.slowness(),
            limit: self.capacity.limit(),
        };
        if !self.reported_capacity.differs(&current) {
            return None;
        }
        self.reported_capacity = current;
        Some(capacity_update::CapacityUpdate {
            server: self.entry.server.clone(),
            stage: self.entry.stage,
            slowness: current.slowness,
            limit: current.limit,
        })
    }

    /// Pauses requests of this instance to an engine that refused one for lack of capacity.
    ///
    /// A prefill engine refuses requests while it changes stage, which takes seconds.
    pub fn record_refusal(&mut self, now: clock::Timestamp) {
        let pause = match self.entry.stage {
            Some(backend_entry::EngineStage::Prefill) => PREFILL_REFUSAL_PAUSE,
            _ => DECODE_REFUSAL_PAUSE,
        };
        self.refusal_pause_until = self.refusal_pause_until.max(now + pause);
    }

    /// Pauses the engine for all instances for the duration of a stage change.
    pub fn start_stage_change(&mut self, now: clock::Timestamp) {
        self.paused_for_all_until = now + STAGE_CHANGE_PAUSE;
    }

    /// Replaces the entry by a newer one; a change of stage ends the pauses.
    pub fn update_entry(&mut self, entry: &backend_entry::BackendEntry) {
        if entry.stage != self.entry.stage {
            self.refusal_pause_until = clock::Timestamp::default();
            self.paused_for_all_until = clock::Timestamp::default();
            self.capacity = server_capacity::ServerCapacity::default();
        }
        self.entry = entry.clone();
        self.listed = true;
    }
}
