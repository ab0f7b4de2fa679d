//! Places of generations at prefill and decode engines, from reservation to release.

use std::time;

use rand::RngExt as _;

use crate::{
    backend, backend_entry, backend_health, engine_selector, relay_core, service_rule,
    stream_lease, stream_request,
};

/// Share of a decode engine's memory that streams may be expected to take; the rest answers
/// lengths that were guessed too short.
pub(super) const UTILIZATION_LIMIT: f64 = 0.92;

/// Share of a decode engine's memory from which on streams that haven't begun there go elsewhere.
const OVERLOAD_UTILIZATION: f64 = 0.96;

/// Instances at which costs are varied most.
const FULL_JITTER_INSTANCES: f64 = 90.0;

/// Time between the end of prefill and the first token at the caller.
const HANDOFF_TIME: time::Duration = time::Duration::from_millis(80);

/// A granted place.
#[derive(Clone, Debug)]
pub struct StreamPlace {
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
pub struct StreamEnd {
    /// What became of it at the decode engine.
    pub outcome: backend_health::BackendOutcome,
    /// Time from the request to the first token at the decode engine.
    pub first_token: time::Duration,
}

impl relay_core::RelayCore {
    /// Takes in that the engine that reads a prompt is done with it, or that it failed.
    pub fn prefill_ended(
        &mut self,
        now: clock::Moment,
        key: stream_lease::StreamKey,
        outcome: backend_health::BackendOutcome,
    ) -> bool {
        let Some(lease) = self.leases.get_mut(key).filter(|lease| lease.prefilling) else {
            return false;
        };
        lease.prefilling = false;
        let tokens = lease.request.prompt_tokens;
        let ahead = lease.tokens_ahead;
        let took = now.since(lease.granted_at);
        let reads_itself = lease.prefill.is_none();
        let prefill_engine = lease.prefill.unwrap_or(lease.decode);
        let Some(engine) = self.book.get_mut(prefill_engine) else {
            return false;
        };
        engine.own_prefill_tokens = engine.own_prefill_tokens.saturating_sub(tokens);
        if reads_itself {
            return false;
        }
        engine.own_running = engine.own_running.saturating_sub(1);
        if outcome == backend_health::BackendOutcome::Succeeded {
            engine.record_prefill(tokens, ahead, took);
        }
        if outcome == backend_health::BackendOutcome::Refused {
            engine.record_full(now);
        }
        engine.health.record(now, outcome, took)
    }

    /// Takes in that a prefill result was gone when a decode engine with room came for it.
    pub fn result_lost(&mut self, now: clock::Moment, prefill: backend::BackendKey) {
        if let Some(engine) = self.book.get_mut(prefill) {
            engine.result_lost(now);
        }
    }

    /// Frees the place of a stream; returns whether the decode engine was ejected by its outcome.
    pub fn release(
        &mut self,
        now: clock::Moment,
        key: stream_lease::StreamKey,
        end: StreamEnd,
    ) -> bool {
        self.prefill_ended(now, key, backend_health::BackendOutcome::Abandoned);
        let Some(lease) = self.leases.remove(key) else {
            return false;
        };
        if end.outcome == backend_health::BackendOutcome::Succeeded {
            self.update_averages(now, &lease);
        }
        let Some(engine) = self.book.get_mut(lease.decode) else {
            return false;
        };
        engine.own_running = engine.own_running.saturating_sub(1);
        engine.own_streams.remove(&key);
        if end.outcome == backend_health::BackendOutcome::Refused {
            engine.record_full(now);
        }
        let ejected = engine.health.record(now, end.outcome, end.first_token);
        self.book.remove_unused();
        ejected
    }

    /// Moves the place of a stream whose prompt was read to another decode engine; returns that
    /// one, or `None` when no other has room.
    pub fn move_decode(
        &mut self,
        now: clock::Moment,
        key: stream_lease::StreamKey,
        outcome: backend_health::BackendOutcome,
    ) -> Option<(backend::BackendKey, backend_entry::BackendEntry)> {
        self.refresh_stale_usage(now);
        let lease = self.leases.get_mut(key)?;
        let left = lease.decode;
        lease.request.avoid.push(left);
        let request = lease.request.clone();
        if let Some(engine) = self.book.get_mut(left) {
            engine.own_running = engine.own_running.saturating_sub(1);
            engine.own_streams.remove(&key);
            engine.health.record(now, outcome, time::Duration::ZERO);
        }
        let size = self.engine_size(&request.service)?;
        let chosen = self
            .selector(now, size, UTILIZATION_LIMIT)
            .select_decode(&request);
        // Without another engine the lease stays on the first one until it is released.
        let decode = chosen.unwrap_or(left);
        let entry = self.assign_decode(key, decode, &request)?;
        chosen.map(|decode| (decode, entry))
    }

    /// Moves a stream whose prompt was read away from a decode engine that was given too many at
    /// the same time by several instances; returns the engine that it moves to.
    ///
    /// All instances that chose the engine find it overfilled. Each moves its stream by chance, with
    /// the share that has to leave.
    pub fn spread_decode(
        &mut self,
        now: clock::Moment,
        key: stream_lease::StreamKey,
    ) -> Option<MovedStream> {
        self.refresh_stale_usage(now);
        let lease = self.leases.get(key)?;
        let (left, request) = (lease.decode, lease.request.clone());
        let size = self.engine_size(&request.service)?;
        let draw = self.random.random::<f64>();
        let selector = self.selector(now, size, UTILIZATION_LIMIT);
        let from_fill = selector.utilization(self.book.get(left)?);
        let excess = from_fill - OVERLOAD_UTILIZATION;
        let own = f64::from(request.mean_tokens()) / f64::from(size.kv_tokens.max(1));
        if excess <= 0.0 || draw >= excess / (excess + own) {
            return None;
        }
        let chosen = selector
            .select_decode(&request)
            .filter(|decode| *decode != left)?;
        let to_fill = selector.utilization(self.book.get(chosen)?);
        let engine = self.book.get_mut(left)?;
        engine.own_running = engine.own_running.saturating_sub(1);
        engine.own_streams.remove(&key);
        let entry = self.assign_decode(key, chosen, &request)?;
        Some(MovedStream {
            decode: (chosen, entry),
            from_fill,
            to_fill,
        })
    }

    /// Counts a stream at the decode engine that it moves to.
    fn assign_decode(
        &mut self,
        key: stream_lease::StreamKey,
        decode: backend::BackendKey,
        request: &stream_request::StreamAsk,
    ) -> Option<backend_entry::BackendEntry> {
        let engine = self.book.get_mut(decode)?;
        engine.own_running += 1;
        engine.own_streams.insert(key, request.load());
        let entry = engine.entry.clone();
        self.leases.get_mut(key)?.decode = decode;
        Some(entry)
    }

    /// Returns the expected time from a place to the first token.
    #[must_use]
    pub fn time_to_first_token(
        &self,
        now: clock::Moment,
        request: &stream_request::StreamAsk,
    ) -> time::Duration {
        let reading = self
            .book
            .table()
            .values()
            .filter(|engine| engine.entry.service == request.service && engine.accepts_work(now))
            .filter(|engine| engine.entry.stage == Some(backend_entry::EngineStage::Prefill))
            .map(|engine| engine.prefill_wait() + engine.prefill_duration(request.prompt_tokens))
            .min();
        reading.unwrap_or_default() + HANDOFF_TIME
    }

    /// Reserves a place at the engines that were chosen.
    pub(super) fn reserve(
        &mut self,
        now: clock::Moment,
        request: &stream_request::StreamAsk,
        selection: engine_selector::EngineSelection,
        size: service_rule::EngineSize,
    ) -> Option<StreamPlace> {
        let selector = self.selector(now, size, 1.0);
        let fill = selector.utilization(self.book.get(selection.decode)?);
        let mut prefill_time = time::Duration::ZERO;
        let mut tokens_ahead = 0;
        let mut prefill = None;
        if let Some(key) = selection.prefill {
            let engine = self.book.get_mut(key)?;
            prefill_time = selection.prefill_wait + engine.prefill_duration(request.prompt_tokens);
            tokens_ahead = engine.prefill_tokens();
            engine.own_prefill_tokens += request.prompt_tokens;
            engine.own_running += 1;
            prefill = Some((key, engine.entry.clone()));
        }
        let key = self.leases.insert(stream_lease::StreamLease {
            prefill: selection.prefill,
            decode: selection.decode,
            request: request.clone(),
            granted_at: now,
            tokens_ahead,
            generated: 0,
            first_token_at: None,
            prefilling: true,
        });
        let engine = self.book.get_mut(selection.decode)?;
        engine.own_running += 1;
        if selection.prefill.is_none() {
            engine.own_prefill_tokens += request.prompt_tokens;
        }
        engine.own_streams.insert(key, request.load());
        let decode = (selection.decode, engine.entry.clone());
        Some(StreamPlace {
            key,
            prefill,
            decode,
            prefill_time,
            fill,
        })
    }

    pub(super) fn selector(
        &self,
        now: clock::Moment,
        size: service_rule::EngineSize,
        utilization_limit: f64,
    ) -> engine_selector::EngineSelector<'_> {
        engine_selector::EngineSelector {
            backends: self.book.table(),
            size,
            utilization_limit,
            jitter: self.jitter(now),
            seed: self.choice_seed,
            data_centre: Some(&self.settings.data_centre),
            now,
        }
    }

    /// Returns how much costs are varied: instances learn of each other's choices a little late, and
    /// the more there are, the more choose within that time.
    fn jitter(&self, now: clock::Moment) -> f64 {
        let instances = u32::try_from(self.instances.live_count(now)).unwrap_or(u32::MAX);
        (f64::from(instances) / FULL_JITTER_INSTANCES).min(1.0)
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
        self.keeper
            .view()
            .config
            .as_ref()?
            .services
            .get(service)?
            .engine
    }
}
