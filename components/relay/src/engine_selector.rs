//! Selects the engines of a request by cost.

use std::{collections, time};

use crate::{
    backend, backend_entry, backend_registry, engine_pool, engine_usage, limit_registry,
    memory_forecast, prompt_terms, service_rule, software_key, stream_request,
};

/// Cost of a KV cache transfer between data centres, as time.
const CROSS_CENTRE_COST: time::Duration = time::Duration::from_millis(60);

/// Cost of a decode engine outside the caller's data centre, as time.
const REMOTE_CALLER_COST: time::Duration = time::Duration::from_millis(10);

/// Cost of a decode engine at a utilization of 1, as time; proportional to the utilization.
const UTILIZATION_COST: time::Duration = time::Duration::from_millis(80);

/// Cost of an idle decode engine, as time. Without this cost, the factor for failures would have
/// little effect on an idle engine.
const BASE_DECODE_COST: time::Duration = time::Duration::from_millis(5);

/// Largest random addition to the time of a prefill engine. It keeps instances that haven't yet
/// received each other's state updates from all selecting the same engine.
const PREFILL_JITTER: time::Duration = time::Duration::from_millis(40);

/// Longest wait for prefill at an engine. A request that would wait longer stays in the wait queue,
/// where it reserves no memory of a decode engine.
const PREFILL_WAIT_LIMIT: time::Duration = time::Duration::from_millis(300);

/// Margin of the forecast of memory, in standard deviations of the remaining output of an engine's
/// streams.
const MARGIN_DEVIATIONS: f64 = 3.0;

/// Ratio of the prefill duration at a decode engine to that at a prefill engine.
const DECODE_PREFILL_SLOWDOWN: u32 = 2;

/// Engines selected for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineSelection {
    /// Prefill engine; `None` when the decode engine prefills the prompt itself.
    pub prefill: Option<backend::BackendKey>,
    /// Decode engine.
    pub decode: backend::BackendKey,
    /// Time until the prefill starts.
    pub prefill_wait: time::Duration,
}

/// Cost of a prefill engine for a request, independent of the decode engine.
struct PrefillCost<'a> {
    key: backend::BackendKey,
    data_centre: &'a ids::DataCentreName,
    software: software_key::SoftwareKey,
    /// Time until the prefill starts.
    wait: time::Duration,
    /// Time until the prefill ends, with jitter.
    completion_time: time::Duration,
    /// Cost factor from the engine's failures.
    cost_factor: f64,
}

/// Selects the engines with the lowest cost among those of a service.
#[derive(Clone, Copy)]
pub struct EngineSelector<'a> {
    /// All backend servers.
    pub backends: &'a backend_registry::BackendTable,
    /// Rate limits of the servers.
    pub limits: &'a limit_registry::LimitRegistry,
    /// Capacity of one engine of the service.
    pub size: service_rule::EngineSize,
    /// Standard deviation of the output length of a stream, relative to its estimate.
    pub length_deviation: f64,
    /// Largest utilization of a decode engine after the placement, between 0 and 1.
    pub utilization_limit: f64,
    /// Amplitude of the cost jitter, between 0 and 1. It spreads the selections of many instances.
    pub jitter: f64,
    /// Seed of the jitter.
    pub seed: u64,
    /// Data centre from which the caller is answered; `None` to ignore the distance.
    pub data_centre: Option<&'a ids::DataCentreName>,
    /// Software versions whose engines are left to waiting streams that are bound to them.
    pub reserved: &'a collections::BTreeSet<software_key::SoftwareKey>,
    /// Engines that may be sent the prompt.
    pub prompt: &'a prompt_terms::PromptTerms,
    /// Current time.
    pub now: clock::Timestamp,
}

impl EngineSelector<'_> {
    /// Returns the pair of engines with the lowest cost that has capacity for a request.
    #[must_use]
    pub fn select(&self, request: &stream_request::StreamRequest) -> Option<EngineSelection> {
        let prefills: Vec<PrefillCost> = self
            .engines(request, backend_entry::EngineStage::Prefill)
            .map(|(key, engine)| self.prefill_cost(key, engine, request))
            .collect();
        let with_prefill: collections::BTreeSet<software_key::SoftwareKey> = self
            .willing(request, backend_entry::EngineStage::Prefill)
            .map(|(_, engine)| engine.software)
            .collect();
        self.decode_engines(request)
            .flat_map(|(decode, engine)| {
                let has_prefill = with_prefill.contains(&engine.software)
                    && !self.prompt.are_without_prefill(engine.software);
                self.pairs(decode, engine, &prefills, has_prefill)
            })
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, selection)| selection)
    }

    /// Returns the decode engine with the lowest cost that has capacity for a prefilled request.
    #[must_use]
    pub fn select_decode(
        &self,
        request: &stream_request::StreamRequest,
    ) -> Option<backend::BackendKey> {
        self.decode_engines(request)
            .map(|(decode, engine)| (decode, self.decode_cost(decode, engine)))
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(decode, _)| decode)
    }

    /// Returns whether any engine of a stage in a pool may receive work.
    #[must_use]
    pub fn has_engine(
        &self,
        pool: engine_pool::EnginePool<'_>,
        stage: backend_entry::EngineStage,
    ) -> bool {
        self.backends.iter().any(|(_, backend)| {
            backend.accepts_work(self.now)
                && pool.contains(backend)
                && backend.entry.stage == Some(stage)
        })
    }

    /// Returns the utilization of an engine: the peak share of its memory that its streams will
    /// use, with a margin for answers that are longer than estimated, or the used share of its slots if that is larger.
    #[must_use]
    pub fn utilization(&self, engine: &backend::Backend) -> f64 {
        self.utilization_with(engine, None)
    }

    fn utilization_with(
        &self,
        engine: &backend::Backend,
        added: Option<engine_usage::StreamLoad>,
    ) -> f64 {
        let running = engine.running() + u32::from(added.is_some());
        let streams = || engine.streams().chain(added);
        let peak = memory_forecast::peak_tokens(streams());
        let peak = f64::from(u32::try_from(peak).unwrap_or(u32::MAX));
        let deviation = memory_forecast::remaining_deviation(streams(), self.length_deviation);
        let memory = (peak + MARGIN_DEVIATIONS * deviation) / f64::from(self.size.kv_tokens.max(1));
        let slots = f64::from(running) / f64::from(self.size.slots.max(1));
        memory.max(slots)
    }

    /// Returns the engines of a stage that may be sent a request now.
    fn engines<'b>(
        &'b self,
        request: &'b stream_request::StreamRequest,
        stage: backend_entry::EngineStage,
    ) -> impl Iterator<Item = (backend::BackendKey, &'b backend::Backend)> {
        self.willing(request, stage)
            .filter(|(_, engine)| self.limits.has_token(self.now, engine.incarnation))
    }

    /// Returns the decode engines with capacity that may be sent a request now.
    fn decode_engines<'b>(
        &'b self,
        request: &'b stream_request::StreamRequest,
    ) -> impl Iterator<Item = (backend::BackendKey, &'b backend::Backend)> {
        self.engines(request, backend_entry::EngineStage::Decode)
            .filter(|(key, engine)| self.prompt.allow(*key, engine))
            .filter(|(_, engine)| self.has_capacity(engine, request))
    }

    /// Returns the engines of a stage that accept work, now or when their rate limit allows it.
    fn willing<'b>(
        &'b self,
        request: &'b stream_request::StreamRequest,
        stage: backend_entry::EngineStage,
    ) -> impl Iterator<Item = (backend::BackendKey, &'b backend::Backend)> {
        let pool = request.pool();
        self.backends.iter().filter(move |(key, engine)| {
            let is_reserved = pool.software.is_none() && self.reserved.contains(&engine.software);
            pool.contains(engine)
                && !is_reserved
                && engine.entry.stage == Some(stage)
                && engine.accepts_work(self.now)
                && !request.avoid.contains(key)
        })
    }

    fn has_capacity(
        &self,
        engine: &backend::Backend,
        request: &stream_request::StreamRequest,
    ) -> bool {
        self.utilization_with(engine, Some(request.load())) <= self.utilization_limit
    }

    /// Returns the pairs of a decode engine with prefill engines of its software version, with their
    /// costs, or the decode engine alone if `has_prefill` is false.
    fn pairs<'b>(
        &'b self,
        decode: backend::BackendKey,
        engine: &'b backend::Backend,
        prefills: &'b [PrefillCost<'b>],
        has_prefill: bool,
    ) -> impl Iterator<Item = (f64, EngineSelection)> + 'b {
        let base = self.decode_cost(decode, engine);
        let own_wait = engine.prefill_wait() * DECODE_PREFILL_SLOWDOWN;
        let prefills_itself = !has_prefill && own_wait <= PREFILL_WAIT_LIMIT;
        let decode_only = prefills_itself.then_some((
            base + own_wait.as_secs_f64(),
            EngineSelection {
                prefill: None,
                decode,
                prefill_wait: own_wait,
            },
        ));
        let available = prefills
            .iter()
            .filter(move |prefill| has_prefill && prefill.software == engine.software)
            .filter(|prefill| prefill.wait <= PREFILL_WAIT_LIMIT);
        let paired = available.map(move |prefill| {
            let crosses_centres = *prefill.data_centre != engine.entry.data_centre;
            let transfer = if crosses_centres {
                CROSS_CENTRE_COST
            } else {
                time::Duration::ZERO
            };
            let cost =
                base + (prefill.completion_time + transfer).as_secs_f64() * prefill.cost_factor;
            let selection = EngineSelection {
                prefill: Some(prefill.key),
                decode,
                prefill_wait: prefill.wait,
            };
            (cost, selection)
        });
        decode_only.into_iter().chain(paired)
    }

    fn prefill_cost<'b>(
        &self,
        key: backend::BackendKey,
        engine: &'b backend::Backend,
        request: &stream_request::StreamRequest,
    ) -> PrefillCost<'b> {
        let wait = engine.prefill_wait();
        let prefill_time = if request.warm_prefill == Some(key) {
            time::Duration::ZERO
        } else {
            engine.prefill_duration(request.prompt_tokens)
        };
        let jitter = PREFILL_JITTER.mul_f64(self.jitter * self.random_share(engine));
        PrefillCost {
            key,
            data_centre: &engine.entry.data_centre,
            software: engine.software,
            wait,
            completion_time: wait + prefill_time + jitter,
            cost_factor: engine.health.cost_factor(self.now),
        }
    }

    /// Returns a pseudorandom number in `0..=1` from the engine's name and the seed.
    fn random_share(&self, engine: &backend::Backend) -> f64 {
        let name = engine.entry.server.as_str().as_bytes();
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name, self.seed);
        f64::from(u16::try_from(hash & 0xffff).unwrap_or(0)) / f64::from(u16::MAX)
    }

    fn decode_cost(&self, key: backend::BackendKey, engine: &backend::Backend) -> f64 {
        let is_remote = self
            .data_centre
            .is_some_and(|own_centre| engine.entry.data_centre != *own_centre);
        let distance = if is_remote {
            REMOTE_CALLER_COST
        } else {
            time::Duration::ZERO
        };
        let utilization = UTILIZATION_COST.mul_f64(self.utilization(engine));
        let jitter = UTILIZATION_COST.mul_f64(self.jitter * self.random_share(engine));
        let repeat = self.prompt.cost(key, engine);
        (distance + utilization + jitter + repeat + BASE_DECODE_COST).as_secs_f64()
            * engine.health.cost_factor(self.now)
    }
}
