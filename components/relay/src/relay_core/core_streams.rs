//! Places of generations at prefill and decode engines, from reservation to release.

use std::time;

use rand::RngExt as _;

use crate::{
    backend, backend_entry, backend_health, engine_choice, relay_core, service_rule, stream_ask,
    stream_lease,
};

/// Share of a decode engine's memory that streams may be expected to take; the rest answers
/// lengths that were guessed too short.
pub(super) const FILL_LIMIT: f64 = 0.92;

/// Share of a decode engine's memory from which on streams that haven't begun there go elsewhere.
const OVERFILL: f64 = 0.96;

/// Instances at which costs are varied most.
const VARIED_FLEET: f64 = 90.0;

/// Time between the end of prefill and the first token at the caller.
const HAND_OVER: time::Duration = time::Duration::from_millis(80);

/// A granted place.
#[derive(Clone, Debug)]
pub struct StreamPlacement {
    /// Its lease.
    pub key: stream_lease::StreamKey,
    /// Engine that reads the prompt; `None` when the decode engine reads it itself.
    pub prefill: Option<(backend::BackendKey, backend_entry::BackendEntry)>,
    /// Engine that generates.
    pub decode: (backend::BackendKey, backend_entry::BackendEntry),
    /// Expected time until the prompt is read.
    pub prefill_time: time::Duration,
    /// Share of the decode engine's memory that was used before.
    pub fill: f64,
}

/// A stream that goes to another decode engine than was chosen first.
#[derive(Clone, Debug)]
pub struct MovedStream {
    /// Engine that it goes to.
    pub decode: (backend::BackendKey, backend_entry::BackendEntry),
    /// Share of the memory expected to be taken at the engine that it leaves, the stream included.
    pub from_fill: f64,
    /// Share of the memory used before at the engine that it goes to.
    pub to_fill: f64,
}

/// How a stream left its place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamCompletion {
    /// What became of it at the decode engine.
    pub outcome: backend_health::BackendOutcome,
    /// Time from the request to the first token at the decode engine.
    pub first_token: time::Duration,
}

impl relay_core::RelayCore {
    /// Takes in that the engine that reads a prompt is done with it, or that it failed.
    pub fn record_prefill_outcome(
        &mut self,
        now: clock::Timestamp,
        key: stream_lease::StreamKey,
        outcome: backend_health::BackendOutcome,
    ) -> bool {
        let Some(lease) = self.leases.get_mut(key).filter(|lease| lease.prefilling) else {
            return false;
        };
        lease.prefilling = false;
        let tokens = lease.ask.prompt_tokens;
        let ahead = lease.tokens_ahead;
        let took = now.since(lease.granted_at);
        let reads_itself = lease.prefill.is_none();
        let reader = lease.prefill.unwrap_or(lease.decode);
        let Some(engine) = self.book.get_mut(reader) else {
            return false;
        };
        engine.own_prefill_tokens = engine.own_prefill_tokens.saturating_sub(tokens);
        if reads_itself {
            return false;
        }
        engine.own_running = engine.own_running.saturating_sub(1);
        if outcome == backend_health::BackendOutcome::Succeeded {
            engine.prompt_read(tokens, ahead, took);
        }
        if outcome == backend_health::BackendOutcome::Refused {
            engine.was_full(now);
        }
        engine.health.ended(now, outcome, took)
    }

    /// Takes in that a prefill result was gone when a decode engine with room came for it.
    pub fn record_lost_result(&mut self, now: clock::Timestamp, prefill: backend::BackendKey) {
        if let Some(engine) = self.book.get_mut(prefill) {
            engine.record_lost_result(now);
        }
    }

    /// Frees the place of a stream; returns whether the decode engine was ejected by its outcome.
    pub fn release(
        &mut self,
        now: clock::Timestamp,
        key: stream_lease::StreamKey,
        end: StreamCompletion,
    ) -> bool {
        self.record_prefill_outcome(now, key, backend_health::BackendOutcome::Abandoned);
        let Some(lease) = self.leases.remove(key) else {
            return false;
        };
        if end.outcome == backend_health::BackendOutcome::Succeeded {
            self.learn(now, &lease);
        }
        let Some(engine) = self.book.get_mut(lease.decode) else {
            return false;
        };
        engine.own_running = engine.own_running.saturating_sub(1);
        engine.own_streams.remove(&key);
        if end.outcome == backend_health::BackendOutcome::Refused {
            engine.was_full(now);
        }
        let ejected = engine.health.ended(now, end.outcome, end.first_token);
        self.book.forget_unused();
        ejected
    }

    /// Moves the place of a stream whose prompt was read to another decode engine; returns that
    /// one, or `None` when no other has room.
    pub fn move_decode(
        &mut self,
        now: clock::Timestamp,
        key: stream_lease::StreamKey,
        outcome: backend_health::BackendOutcome,
    ) -> Option<(backend::BackendKey, backend_entry::BackendEntry)> {
        self.fresh_usage(now);
        let lease = self.leases.get_mut(key)?;
        let left = lease.decode;
        lease.ask.avoid.push(left);
        let ask = lease.ask.clone();
        if let Some(engine) = self.book.get_mut(left) {
            engine.own_running = engine.own_running.saturating_sub(1);
            engine.own_streams.remove(&key);
            engine.health.ended(now, outcome, time::Duration::ZERO);
        }
        let size = self.engine_size(&ask.service)?;
        let chosen = self.chooser(now, size, FILL_LIMIT).choose_decode(&ask);
        // Without another engine the lease stays on the first one until it is released.
        let decode = chosen.unwrap_or(left);
        let entry = self.occupy(key, decode, &ask)?;
        chosen.map(|decode| (decode, entry))
    }

    /// Moves a stream whose prompt was read away from a decode engine that was given too many at
    /// the same time by several instances; returns the engine that it moves to.
    ///
    /// All instances that chose the engine find it overfilled. Each moves its stream by chance, with
    /// the share that has to leave.
    pub fn rebalance_decode(
        &mut self,
        now: clock::Timestamp,
        key: stream_lease::StreamKey,
    ) -> Option<MovedStream> {
        self.fresh_usage(now);
        let lease = self.leases.get(key)?;
        let (left, ask) = (lease.decode, lease.ask.clone());
        let size = self.engine_size(&ask.service)?;
        let draw = self.random.random::<f64>();
        let chooser = self.chooser(now, size, FILL_LIMIT);
        let from_fill = chooser.fill(self.book.get(left)?);
        let excess = from_fill - OVERFILL;
        let own = f64::from(ask.mean_tokens()) / f64::from(size.kv_tokens.max(1));
        if excess <= 0.0 || draw >= excess / (excess + own) {
            return None;
        }
        let chosen = chooser
            .choose_decode(&ask)
            .filter(|decode| *decode != left)?;
        let to_fill = chooser.fill(self.book.get(chosen)?);
        let engine = self.book.get_mut(left)?;
        engine.own_running = engine.own_running.saturating_sub(1);
        engine.own_streams.remove(&key);
        let entry = self.occupy(key, chosen, &ask)?;
        Some(MovedStream {
            decode: (chosen, entry),
            from_fill,
            to_fill,
        })
    }

    /// Counts a stream at the decode engine that it moves to.
    fn occupy(
        &mut self,
        key: stream_lease::StreamKey,
        decode: backend::BackendKey,
        ask: &stream_ask::StreamRequest,
    ) -> Option<backend_entry::BackendEntry> {
        let engine = self.book.get_mut(decode)?;
        engine.own_running += 1;
        engine.own_streams.insert(key, ask.load());
        let entry = engine.entry.clone();
        self.leases.get_mut(key)?.decode = decode;
        Some(entry)
    }

    /// Returns the expected time from a place to the first token.
    #[must_use]
    pub fn time_to_first_token(
        &self,
        now: clock::Timestamp,
        ask: &stream_ask::StreamRequest,
    ) -> time::Duration {
        let reading = self
            .book
            .table()
            .values()
            .filter(|engine| engine.entry.service == ask.service && engine.takes_work(now))
            .filter(|engine| engine.entry.stage == Some(backend_entry::EngineStage::Prefill))
            .map(|engine| engine.prefill_wait() + engine.read_time(ask.prompt_tokens))
            .min();
        reading.unwrap_or_default() + HAND_OVER
    }

    /// Reserves a place at the engines that were chosen.
    pub(super) fn reserve(
        &mut self,
        now: clock::Timestamp,
        ask: &stream_ask::StreamRequest,
        choice: engine_choice::EngineChoice,
        size: service_rule::EngineSize,
    ) -> Option<StreamPlacement> {
        let chooser = self.chooser(now, size, 1.0);
        let fill = chooser.fill(self.book.get(choice.decode)?);
        let mut prefill_time = time::Duration::ZERO;
        let mut tokens_ahead = 0;
        let mut prefill = None;
        if let Some(key) = choice.prefill {
            let engine = self.book.get_mut(key)?;
            prefill_time = choice.prefill_wait + engine.read_time(ask.prompt_tokens);
            tokens_ahead = engine.prefill_tokens();
            engine.own_prefill_tokens += ask.prompt_tokens;
            engine.own_running += 1;
            prefill = Some((key, engine.entry.clone()));
        }
        let key = self.leases.insert(stream_lease::StreamLease {
            prefill: choice.prefill,
            decode: choice.decode,
            ask: ask.clone(),
            granted_at: now,
            tokens_ahead,
            generated: 0,
            first_token_at: None,
            prefilling: true,
        });
        let engine = self.book.get_mut(choice.decode)?;
        engine.own_running += 1;
        if choice.prefill.is_none() {
            engine.own_prefill_tokens += ask.prompt_tokens;
        }
        engine.own_streams.insert(key, ask.load());
        let decode = (choice.decode, engine.entry.clone());
        Some(StreamPlacement {
            key,
            prefill,
            decode,
            prefill_time,
            fill,
        })
    }

    pub(super) fn chooser(
        &self,
        now: clock::Timestamp,
        size: service_rule::EngineSize,
        fill_limit: f64,
    ) -> engine_choice::EngineChooser<'_> {
        engine_choice::EngineChooser {
            backends: self.book.table(),
            size,
            fill_limit,
            variation: self.variation(now),
            seed: self.selection_seed,
            data_centre: Some(&self.settings.data_centre),
            now,
        }
    }

    /// Returns how much costs are varied: instances learn of each other's choices a little late, and
    /// the more there are, the more choose within that time.
    fn variation(&self, now: clock::Timestamp) -> f64 {
        let instances = u32::try_from(self.instances.live_count(now)).unwrap_or(u32::MAX);
        (f64::from(instances) / VARIED_FLEET).min(1.0)
    }

    /// Returns the tokens that one event of a service's streams stands for.
    #[must_use]
    pub fn tokens_per_event(&self, service: &ids::ServiceName) -> u32 {
        self.engine_size(service)
            .map_or(1, |size| size.tokens_per_event)
    }

    /// Returns the time that a prefill result of a service is kept before it is taken.
    #[must_use]
    pub fn result_retention(&self, service: &ids::ServiceName) -> time::Duration {
        self.engine_size(service)
            .map_or(time::Duration::ZERO, |size| size.retention)
    }

    pub(super) fn engine_size(
        &self,
        service: &ids::ServiceName,
    ) -> Option<service_rule::EngineSize> {
        self.tracker
            .view()
            .config
            .as_ref()?
            .services
            .get(service)?
            .engine
    }
}
