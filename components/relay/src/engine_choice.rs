//! Chooses the engines of a request.

use std::time;

use crate::{
    backend, backend_book, backend_entry, engine_usage, memory_forecast, service_rule, stream_ask,
};

/// What a transfer between data centres costs, as time.
const CENTRE_COST: time::Duration = time::Duration::from_millis(60);

/// What an answer costs that comes from another data centre than the caller's, as time.
const CALLER_COST: time::Duration = time::Duration::from_millis(10);

/// What the fill of a decode engine costs, as time at a full engine.
const FILL_COST: time::Duration = time::Duration::from_millis(80);

/// What chance adds at the most to the time of a prefill engine, so that instances that haven't
/// heard of each other's choices yet don't all choose the same one.
const READER_SPREAD: time::Duration = time::Duration::from_millis(40);

/// Longest time that a prompt waits at a prefill engine. Beyond it a request keeps its place in the
/// line, where it holds no memory of a decode engine.
const PREFILL_WAIT_LIMIT: time::Duration = time::Duration::from_millis(300);

/// Times as long a decode engine takes for a prompt as a prefill engine.
const SELF_READ_FACTOR: u32 = 2;

/// The engines chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EngineChoice {
    /// Engine that reads the prompt; `None` when the decode engine reads it itself.
    pub prefill: Option<backend::BackendKey>,
    /// Engine that generates.
    pub decode: backend::BackendKey,
    /// Time until the prompt begins to be read.
    pub prefill_wait: time::Duration,
}

/// What a prefill engine costs a request, whichever engine generates.
struct ReaderCost<'a> {
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
pub struct EngineChooser<'a> {
    /// All backend servers.
    pub backends: &'a backend_book::BackendTable,
    /// Sizes of the service's engines.
    pub size: service_rule::EngineSize,
    /// Share of an engine's memory up to which it is filled.
    pub fill_limit: f64,
    /// How much costs are varied, between 0 and 1, so that many instances don't choose alike.
    pub variation: f64,
    /// Seed of the variation.
    pub seed: u64,
    /// Data centre from which the caller is answered, when it counts.
    pub data_centre: Option<&'a ids::DataCentreName>,
    /// Current time.
    pub now: clock::Timestamp,
}

impl EngineChooser<'_> {
    /// Returns the cheapest pair of engines with room for a request, or `None` without room.
    #[must_use]
    pub fn choose(&self, ask: &stream_ask::StreamRequest) -> Option<EngineChoice> {
        let readers: Vec<ReaderCost> = self
            .engines(ask, backend_entry::EngineStage::Prefill)
            .map(|(key, engine)| self.reader_cost(key, engine, ask))
            .collect();
        self.engines(ask, backend_entry::EngineStage::Decode)
            .filter(|(_, engine)| self.has_room(engine, ask))
            .flat_map(|(decode, engine)| self.pairs(decode, engine, &readers))
            .min_by(|(left, _), (right, _)| left.total_cmp(right))
            .map(|(_, choice)| choice)
    }

    /// Returns the cheapest decode engine with room for a request whose prompt was read.
    #[must_use]
    pub fn choose_decode(&self, ask: &stream_ask::StreamRequest) -> Option<backend::BackendKey> {
        self.engines(ask, backend_entry::EngineStage::Decode)
            .filter(|(_, engine)| self.has_room(engine, ask))
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
            backend.takes_work(self.now)
                && backend.entry.service == *service
                && backend.entry.stage == Some(stage)
        })
    }

    /// Returns the share of an engine's memory that its streams will take at the most, or of its
    /// slots if that is more.
    #[must_use]
    pub fn fill(&self, engine: &backend::Backend) -> f64 {
        self.fill_with(engine, None)
    }

    fn fill_with(&self, engine: &backend::Backend, added: Option<engine_usage::StreamLoad>) -> f64 {
        let running = engine.running() + u32::from(added.is_some());
        let peak = memory_forecast::peak_tokens(engine.streams().chain(added));
        let peak = f64::from(u32::try_from(peak).unwrap_or(u32::MAX));
        let memory = peak / f64::from(self.size.kv_tokens.max(1));
        let slots = f64::from(running) / f64::from(self.size.slots.max(1));
        memory.max(slots)
    }

    fn engines<'b>(
        &'b self,
        ask: &'b stream_ask::StreamRequest,
        stage: backend_entry::EngineStage,
    ) -> impl Iterator<Item = (backend::BackendKey, &'b backend::Backend)> {
        self.backends.iter().filter(move |(key, engine)| {
            engine.entry.service == ask.service
                && engine.entry.stage == Some(stage)
                && engine.takes_work(self.now)
                && !ask.avoid.contains(key)
        })
    }

    fn has_room(&self, engine: &backend::Backend, ask: &stream_ask::StreamRequest) -> bool {
        self.fill_with(engine, Some(ask.load())) <= self.fill_limit
    }

    fn pairs<'b>(
        &'b self,
        decode: backend::BackendKey,
        engine: &'b backend::Backend,
        readers: &'b [ReaderCost<'b>],
    ) -> impl Iterator<Item = (f64, EngineChoice)> + 'b {
        let base = self.decode_cost(engine);
        let own_wait = engine.prefill_wait() * SELF_READ_FACTOR;
        let reads_itself = readers.is_empty() && own_wait <= PREFILL_WAIT_LIMIT;
        let alone = reads_itself.then_some((
            base + own_wait.as_secs_f64(),
            EngineChoice {
                prefill: None,
                decode,
                prefill_wait: own_wait,
            },
        ));
        let free = readers
            .iter()
            .filter(|reader| reader.wait <= PREFILL_WAIT_LIMIT);
        let paired = free.map(move |reader| {
            let crosses = *reader.data_centre != engine.entry.data_centre;
            let transfer = if crosses {
                CENTRE_COST
            } else {
                time::Duration::ZERO
            };
            let cost = base + (reader.time + transfer).as_secs_f64() * reader.factor;
            let choice = EngineChoice {
                prefill: Some(reader.key),
                decode,
                prefill_wait: reader.wait,
            };
            (cost, choice)
        });
        alone.into_iter().chain(paired)
    }

    fn reader_cost<'b>(
        &self,
        key: backend::BackendKey,
        engine: &'b backend::Backend,
        ask: &stream_ask::StreamRequest,
    ) -> ReaderCost<'b> {
        let wait = engine.prefill_wait();
        let reading = if ask.warm_prefill == Some(key) {
            time::Duration::ZERO
        } else {
            engine.read_time(ask.prompt_tokens)
        };
        let varied = READER_SPREAD.mul_f64(self.variation * self.draw(engine));
        ReaderCost {
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
            CALLER_COST
        } else {
            time::Duration::ZERO
        };
        let fill = FILL_COST.mul_f64(self.fill(engine));
        let base = time::Duration::from_millis(5);
        let varied = FILL_COST.mul_f64(self.variation * self.draw(engine));
        (far + fill + varied + base).as_secs_f64() * engine.health.cost_factor(self.now)
    }
}
