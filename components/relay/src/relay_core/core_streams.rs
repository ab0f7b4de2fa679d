//! Slots of generations on prefill and decode engines, from reservation to release.

use std::{collections, time};

use rand::RngExt as _;

use crate::{
    backend, backend_entry, backend_health, engine_selector, instance_update, prompt_terms,
    relay_core, server_reach, service_rule, software_key, stream_lease, stream_request,
};

/// Limit on the expected utilization of a decode engine. The remaining memory absorbs answers that
/// exceed their estimated length.
pub(super) const UTILIZATION_LIMIT: f64 = 0.99;

/// Utilization of a decode engine above which streams that haven't started there are moved to
/// another engine.
const OVERLOAD_UTILIZATION: f64 = 0.96;

/// Number of alive instances from which the cost jitter has its full amplitude.
const FULL_JITTER_INSTANCES: f64 = 90.0;

/// No software versions whose engines are reserved.
static NONE_RESERVED: collections::BTreeSet<software_key::SoftwareKey> =
    collections::BTreeSet::new();

/// Terms that allow every engine.
static ANY_ENGINE: prompt_terms::PromptTerms = prompt_terms::PromptTerms::unrestricted();

/// Placement of a generation, with slots reserved on its engines.
#[derive(Clone, Debug)]
pub struct StreamPlacement {
    /// Key of the lease.
    pub key: stream_lease::StreamKey,
    /// Prefill engine; `None` when the decode engine prefills the prompt itself.
    pub prefill: Option<(backend::BackendKey, backend_entry::BackendEntry)>,
    /// Decode engine.
    pub decode: (backend::BackendKey, backend_entry::BackendEntry),
    /// Expected time until the prefill ends.
    pub prefill_time: time::Duration,
    /// Utilization of the decode engine before the placement.
    pub fill: f64,
    /// Whether this instance doesn't know whether another version was sent the prompt.
    pub may_be_repeat: bool,
}

/// Move of a stream to another decode engine than the one selected first.
#[derive(Clone, Debug)]
pub struct MovedStream {
    /// New decode engine.
    pub decode: (backend::BackendKey, backend_entry::BackendEntry),
    /// Expected utilization of the previous decode engine, including the stream.
    pub from_fill: f64,
    /// Utilization of the new decode engine before the move.
    pub to_fill: f64,
}

/// Completion of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamCompletion {
    /// Outcome at the decode engine.
    pub outcome: backend_health::BackendOutcome,
    /// Time from the request to the first token at the decode engine.
    pub first_token: time::Duration,
}

impl relay_core::RelayCore {
    /// Records the outcome of a prefill and frees its slot; returns whether the outcome ejected the
    /// prefill engine.
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
        let tokens = lease.request.prompt_tokens;
        let request = lease.request.clone();
        if outcome == backend_health::BackendOutcome::Succeeded {
            lease.prefilled_at = Some(now);
        }
        let tokens_ahead = lease.tokens_ahead;
        let duration = now.since(lease.reserved_at);
        let decode_prefills = lease.prefill.is_none();
        let prefill_engine = lease.prefill.unwrap_or(lease.decode);
        let Some(engine) = self.backends.get_mut(prefill_engine) else {
            return false;
        };
        engine.own_prefill_tokens = engine.own_prefill_tokens.saturating_sub(tokens);
        if decode_prefills {
            return false;
        }
        engine.own_running = engine.own_running.saturating_sub(1);
        if outcome == backend_health::BackendOutcome::Succeeded {
            engine.record_prefill(tokens, tokens_ahead, duration);
        }
        if outcome == backend_health::BackendOutcome::Refused {
            engine.record_refusal(now);
        }
        let ejected = engine.record_outcome(now, outcome, duration);
        if outcome == backend_health::BackendOutcome::Succeeded && tokens_ahead == 0 {
            self.observe_prefill(&request, duration);
        }
        ejected
    }

    /// Records that a decode engine with free capacity found a prefill result missing.
    pub fn record_lost_result(&mut self, now: clock::Timestamp, prefill: backend::BackendKey) {
        if let Some(engine) = self.backends.get_mut(prefill) {
            engine.record_lost_result(now);
        }
    }

    /// Releases the slots of a stream; returns whether the outcome ejected the decode engine.
    pub fn release(
        &mut self,
        now: clock::Timestamp,
        key: stream_lease::StreamKey,
        completion: StreamCompletion,
    ) -> bool {
        self.record_prefill_outcome(now, key, backend_health::BackendOutcome::Abandoned);
        let Some(lease) = self.leases.remove(key) else {
            return false;
        };
        if completion.outcome == backend_health::BackendOutcome::Succeeded {
            self.observe_stream(now, &lease);
        }
        let Some(engine) = self.backends.get_mut(lease.decode) else {
            return false;
        };
        engine.own_running = engine.own_running.saturating_sub(1);
        engine.own_streams.remove(&key);
        if completion.outcome == backend_health::BackendOutcome::Refused {
            engine.record_refusal(now);
        }
        let latency = match completion.outcome {
            // A stream is given up only after a long silence.
            backend_health::BackendOutcome::TimedOut => server_reach::SILENCE_LIMIT,
            _ => completion.first_token,
        };
        let ejected = engine.record_outcome(now, completion.outcome, latency);
        self.backends.remove_unlisted();
        ejected
    }

    /// Moves a prefilled stream to another decode engine after an attempt with `outcome`; returns
    /// the new engine, or `None` when no other one has capacity.
    pub fn move_decode(
        &mut self,
        now: clock::Timestamp,
        key: stream_lease::StreamKey,
        outcome: backend_health::BackendOutcome,
    ) -> Option<(backend::BackendKey, backend_entry::BackendEntry)> {
        self.refresh_stale_usage(now);
        let lease = self.leases.get_mut(key)?;
        let previous = lease.decode;
        lease.request.avoid.push(previous);
        let request = lease.bound_request();
        if let Some(engine) = self.backends.get_mut(previous) {
            engine.own_running = engine.own_running.saturating_sub(1);
            engine.own_streams.remove(&key);
            engine.record_outcome(now, outcome, time::Duration::ZERO);
        }
        let size = self.engine_size(&request.service)?;
        let prompt = self.prompt_terms(now, &request);
        let selector = engine_selector::EngineSelector {
            prompt: &prompt,
            ..self.selector(now, size, UTILIZATION_LIMIT)
        };
        let selected = selector.select_decode(&request);
        // Without another engine the lease keeps the previous one until its release.
        let decode = selected.unwrap_or(previous);
        let entry = self.assign_decode(key, decode, &request)?;
        if let Some(decode) = selected {
            self.count_request(now, decode);
        }
        selected.map(|decode| (decode, entry))
    }

    /// Moves a prefilled stream away from a decode engine that several instances have overloaded at
    /// the same time, or that is no longer willing to receive it; returns the move.
    ///
    /// All instances that selected the engine observe the overload. Each moves its stream with the
    /// probability `excess / (excess + own)`, where `excess` is the utilization above
    /// `OVERLOAD_UTILIZATION` and `own` is the stream's mean share of the engine's memory.
    pub fn rebalance_decode(
        &mut self,
        now: clock::Timestamp,
        key: stream_lease::StreamKey,
    ) -> Option<MovedStream> {
        self.refresh_stale_usage(now);
        let lease = self.leases.get(key)?;
        let (previous, request) = (lease.decode, lease.bound_request());
        let size = self.engine_size(&request.service)?;
        let draw = self.random.random::<f64>();
        let prompt = self.prompt_terms(now, &request);
        let selector = engine_selector::EngineSelector {
            prompt: &prompt,
            ..self.selector(now, size, UTILIZATION_LIMIT)
        };
        let from_fill = selector.utilization(self.backends.get(previous)?);
        let excess = from_fill - OVERLOAD_UTILIZATION;
        let own = f64::from(request.mean_tokens()) / f64::from(size.kv_tokens.max(1));
        let is_willing = self.may_receive(now, previous);
        if is_willing && (excess <= 0.0 || draw >= excess / (excess + own)) {
            return None;
        }
        let selected = selector
            .select_decode(&request)
            .filter(|decode| *decode != previous)?;
        let to_fill = selector.utilization(self.backends.get(selected)?);
        let engine = self.backends.get_mut(previous)?;
        engine.own_running = engine.own_running.saturating_sub(1);
        engine.own_streams.remove(&key);
        let entry = self.assign_decode(key, selected, &request)?;
        self.count_request(now, selected);
        Some(MovedStream {
            decode: (selected, entry),
            from_fill,
            to_fill,
        })
    }

    /// Counts a stream on `decode` and records the engine in the lease.
    fn assign_decode(
        &mut self,
        key: stream_lease::StreamKey,
        decode: backend::BackendKey,
        request: &stream_request::StreamRequest,
    ) -> Option<backend_entry::BackendEntry> {
        let engine = self.backends.get_mut(decode)?;
        engine.own_running += 1;
        engine.own_streams.insert(key, request.load());
        let entry = engine.entry.clone();
        self.leases.get_mut(key)?.decode = decode;
        Some(entry)
    }

    /// Reserves slots on the selected engines.
    pub(super) fn reserve(
        &mut self,
        now: clock::Timestamp,
        request: &stream_request::StreamRequest,
        selection: engine_selector::EngineSelection,
        size: service_rule::EngineSize,
    ) -> Option<StreamPlacement> {
        let selector = self.selector(now, size, 1.0);
        let decode_engine = self.backends.get(selection.decode)?;
        let fill = selector.utilization(decode_engine);
        let software = decode_engine.software;
        let mut prefill_time = time::Duration::ZERO;
        let mut tokens_ahead = 0;
        let mut prefill = None;
        if let Some(key) = selection.prefill {
            let engine = self.backends.get_mut(key)?;
            prefill_time = selection.prefill_wait + engine.prefill_duration(request.prompt_tokens);
            tokens_ahead = engine.prefill_tokens();
            engine.own_prefill_tokens += request.prompt_tokens;
            engine.own_running += 1;
            self.limits.count_request(now, engine.incarnation);
            prefill = Some((key, engine.entry.clone()));
        }
        let first_event_expected_at = now + prefill_time + self.handoff_time(&request.service);
        let key = self.leases.insert(stream_lease::StreamLease {
            prefill: selection.prefill,
            decode: selection.decode,
            software,
            request: request.clone(),
            reserved_at: now,
            tokens_ahead,
            generated: 0,
            prefilled_at: None,
            first_event_expected_at,
            first_token_at: None,
            prefilling: true,
        });
        let engine = self.backends.get_mut(selection.decode)?;
        engine.own_running += 1;
        self.limits.count_request(now, engine.incarnation);
        if selection.prefill.is_none() {
            engine.own_prefill_tokens += request.prompt_tokens;
        }
        engine.own_streams.insert(key, request.load());
        let decode = (selection.decode, engine.entry.clone());
        self.record_share(now, request);
        let service = instance_update::service_hash(&request.service);
        Some(StreamPlacement {
            may_be_repeat: !self.knows_prompts(now, service),
            key,
            prefill,
            decode,
            prefill_time,
            fill,
        })
    }

    pub(super) fn selector(
        &self,
        now: clock::Timestamp,
        size: service_rule::EngineSize,
        utilization_limit: f64,
    ) -> engine_selector::EngineSelector<'_> {
        engine_selector::EngineSelector {
            backends: self.backends.table(),
            limits: &self.limits,
            size,
            length_deviation: self.length_deviation(),
            utilization_limit,
            jitter: self.jitter(now),
            seed: self.selection_seed,
            data_centre: Some(&self.settings.data_centre),
            reserved: &NONE_RESERVED,
            prompt: &ANY_ENGINE,
            now,
        }
    }

    /// Returns the amplitude of the cost jitter. Instances receive each other's selections with a
    /// delay, and more instances make more selections within that delay.
    fn jitter(&self, now: clock::Timestamp) -> f64 {
        let instances = u32::try_from(self.instances.live_count(now)).unwrap_or(u32::MAX);
        (f64::from(instances) / FULL_JITTER_INSTANCES).min(1.0)
    }

    /// Returns the number of tokens in one event of a service's streams.
    #[must_use]
    pub fn tokens_per_event(&self, service: &ids::ServiceName) -> u32 {
        self.engine_size(service)
            .map_or(1, |size| size.tokens_per_event)
    }

    /// Returns the time for which an engine of a service keeps an untransferred prefill result.
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
