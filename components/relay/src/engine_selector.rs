//! Chooses the engines of a request.

use std::time;

use crate::{
    backend, backend_entry, backend_registry, engine_usage, memory_forecast, service_rule,
    stream_request,
};

/// What a transfer between data centres costs, as time.
const CROSS_CENTRE_COST: time::Duration = time::Duration::from_millis(60);

/// What an answer costs that comes from another data centre than the caller's, as time.
const REMOTE_CALLER_COST: time::Duration = time::Duration::from_millis(10);

/// What the fill of a decode engine costs, as time at a full engine.
const UTILIZATION_COST: time::Duration = time::Duration::from_millis(80);

/// What chance adds at the most to the time of a prefill engine, so that instances that haven't
/// heard of each other's choices yet don't all choose the same one.
const PREFILL_JITTER: time::Duration = time::Duration::from_millis(40);

/// Longest time that a prompt waits at a prefill engine. Beyond it a request keeps its place in the
/// line, where it holds no memory of a decode engine.
const PREFILL_WAIT_LIMIT: time::Duration = time::Duration::from_millis(300);

/// Times as long a decode engine takes for a prompt as a prefill engine.
const DECODE_PREFILL_SLOWDOWN: u32 = 2;

/// The engines chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineSelection {
    /// Engine that reads the prompt; `None` when the decode engine reads it itself.
    pub prefill: Option<backend::BackendKey>,
    /// Engine that generates.
    pub decode: backend::BackendKey,
    /// Time until the prompt begins to be read.
    pub prefill_wait: time::Duration,
}

/// What a prefill engine costs a request, whichever engine generates.
struct PrefillCost<'a> {
    key: backend::BackendKey,
    data_centre: &'a ids::DataCentreName,
    /// Time until the prompt begins to be read.
    wait: time::Duration,
    /// Time until the prompt is read, varied.
    time: time::Duration,
    /// How much dearer the engine's failures make it.
    factor: f64,
}

/// Chooses engines among those of a service.
#[derive(Clone, Copy)]
pub struct EngineSelector<'a> {
    /// All backend servers.
    pub backends: &'a backend_registry::BackendTable,
    /// Sizes of the service's engines.
    pub size: service_rule::EngineSize,
    /// Share of an engine's memory up to which it is filled.
    pub utilization_limit: f64,
    /// How much costs are varied, between 0 and 1, so that many instances don't choose alike.
    pub jitter: f64,
    /// Seed of the variation.
    pub seed: u64,
    /// Data centre from which the caller is answered, when it counts.
    pub data_centre: Option<&'a ids::DataCentreName>,
    /// Current time.
    pub now: clock::Moment,
}

impl EngineSelector<'_> {
    /// Returns the cheapest pair of engines with room for a request, or `None` without room.
    #[must_use]
    pub fn select(&self, request: &stream_request::StreamAsk) -> Option<EngineSelection> {
        let prefills: Vec<PrefillCost> = self
            .engines(request, backend_entry::EngineStage::Prefill)
            .map(|(key, engine)| self.prefill_cost(key, engine, request))
            .collect();
        self.engines(request, backend_entry::EngineStage::Decode)
            .filter(|(_, engine)| self.has_capacity(engine, request))
            .flat_map(|(decode, engine)| self.pairs(decode, engine, &prefills))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, selection)| selection)
    }

    /// Returns the cheapest decode engine with room for a request whose prompt was read.
    #[must_use]
    pub fn select_decode(
        &self,
        request: &stream_request::StreamAsk,
    ) -> Option<backend::BackendKey> {
        self.engines(request, backend_entry::EngineStage::Decode)
            .filter(|(_, engine)| self.has_capacity(engine, request))
            .map(|(decode, engine)| (decode, self.decode_cost(engine)))
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(decode, _)| decode)
    }

    /// Returns whether any engine of a stage may receive work.
    #[must_use]
    pub fn has_engine(
        &self,
        service: &ids::ServiceName,
        stage: backend_entry::EngineStage,
    ) -> bool {
        self.backends.iter().any(|(_, backend)| {
            backend.accepts_work(self.now)
                && backend.entry.service == *service
                && backend.entry.stage == Some(stage)
        })
    }

    /// Returns the share of an engine's memory that its streams will take at the most, or of its
    /// slots if that is more.
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
        let peak = memory_forecast::peak_tokens(engine.streams().chain(added));
        let peak = f64::from(u32::try_from(peak).unwrap_or(u32::MAX));
        let memory = peak / f64::from(self.size.kv_tokens.max(1));
        let slots = f64::from(running) / f64::from(self.size.slots.max(1));
        memory.max(slots)
    }

    fn engines<'b>(
        &'b self,
        request: &'b stream_request::StreamAsk,
        stage: backend_entry::EngineStage,
    ) -> impl Iterator<Item = (backend::BackendKey, &'b backend::Backend)> {
        self.backends.iter().filter(move |(key, engine)| {
            engine.entry.service == request.service
                && engine.entry.stage == Some(stage)
                && engine.accepts_work(self.now)
                && !request.avoid.contains(key)
        })
    }

    fn has_capacity(&self, engine: &backend::Backend, request: &stream_request::StreamAsk) -> bool {
        self.utilization_with(engine, Some(request.load())) <= self.utilization_limit
    }

    fn pairs<'b>(
        &'b self,
        decode: backend::BackendKey,
        engine: &'b backend::Backend,
        prefills: &'b [PrefillCost<'b>],
    ) -> impl Iterator<Item = (f64, EngineSelection)> + 'b {
        let base = self.decode_cost(engine);
        let own_wait = engine.prefill_wait() * DECODE_PREFILL_SLOWDOWN;
        let reads_itself = prefills.is_empty() && own_wait <= PREFILL_WAIT_LIMIT;
        let alone = reads_itself.then_some((
            base + own_wait.as_secs_f64(),
            EngineSelection {
                prefill: None,
                decode,
                prefill_wait: own_wait,
            },
        ));
        let free = prefills
            .iter()
            .filter(|reader| reader.wait <= PREFILL_WAIT_LIMIT);
        let paired = free.map(move |reader| {
            let crosses = *reader.data_centre != engine.entry.data_centre;
            let transfer = if crosses {
                CROSS_CENTRE_COST
            } else {
                time::Duration::ZERO
            };
            let cost = base + (reader.time + transfer).as_secs_f64() * reader.factor;
            let selection = EngineSelection {
                prefill: Some(reader.key),
                decode,
                prefill_wait: reader.wait,
            };
            (cost, selection)
        });
        alone.into_iter().chain(paired)
    }

    fn prefill_cost<'b>(
        &self,
        key: backend::BackendKey,
        engine: &'b backend::Backend,
        request: &stream_request::StreamAsk,
    ) -> PrefillCost<'b> {
        let wait = engine.prefill_wait();
        let reading = if request.warm_prefill == Some(key) {
            time::Duration::ZERO
        } else {
            engine.prefill_duration(request.prompt_tokens)
        };
        let varied = PREFILL_JITTER.mul_f64(self.jitter * self.draw(engine));
        PrefillCost {
            key,
            data_centre: &engine.entry.data_centre,
            wait,
            time: wait + reading + varied,
            factor: engine.health.cost_factor(self.now),
        }
    }

    /// Returns a number in `0..1` that differs by engine and request.
    fn draw(&self, engine: &backend::Backend) -> f64 {
        let name = engine.entry.server.as_str().as_bytes();
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name, self.seed);
        f64::from(u16::try_from(hash & 0xffff).unwrap_or(0)) / f64::from(u16::MAX)
    }

    fn decode_cost(&self, engine: &backend::Backend) -> f64 {
        let is_far = self
            .data_centre
            .is_some_and(|home| engine.entry.data_centre != *home);
        let far = if is_far {
            REMOTE_CALLER_COST
        } else {
            time::Duration::ZERO
        };
        let fill = UTILIZATION_COST.mul_f64(self.utilization(engine));
        let base = time::Duration::from_millis(5);
        let varied = UTILIZATION_COST.mul_f64(self.jitter * self.draw(engine));
        (far + fill + varied + base).as_secs_f64() * engine.health.cost_factor(self.now)
    }
}
