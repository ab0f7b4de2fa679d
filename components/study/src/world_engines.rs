//! Calls to the engines of the study and what happens at them.

use fakes::engine_model;

use crate::{engine_host, request_trace, study_world, world_event};

/// Tokens between two reports of what a caller has received.
const DELIVERY_STEP: u32 = 16;

impl study_world::StudyWorld {
    /// Lets a call reach an engine.
    pub(crate) fn call_engine(&mut self, number: usize, call: world_event::EngineCall) {
        let mut events = Vec::new();
        match call {
            world_event::EngineCall::Prefill(core, request, attempt) => {
                self.call_prefill(number, core, request, attempt, &mut events);
            }
            world_event::EngineCall::Import(core, job) => {
                self.call_import(number, core, &job, &mut events);
            }
            world_event::EngineCall::Decode(core, job) => {
                self.call_decode(number, core, &job, &mut events);
            }
            world_event::EngineCall::Cancel(key) => {
                let host = &mut self.engines[number];
                host.awaited.remove(&key);
                if let Some(model) = &mut host.model {
                    model.cancel(self.now, key, &mut events);
                }
            }
            world_event::EngineCall::Export(handle, target, key) => {
                self.call_export(number, handle, target, key, &mut events);
            }
            world_event::EngineCall::SourceSent(key) => {
                if let Some(model) = &mut self.engines[number].model {
                    model.source_sent(self.now, key, &mut events);
                }
            }
            world_event::EngineCall::SourceGone(key) => {
                self.fail_awaited(number, key, lost());
                if let Some(model) = &mut self.engines[number].model {
                    model.cancel(self.now, key, &mut events);
                }
            }
            read => self.read_engine(number, read, &mut events),
        }
        self.after_engine(number, events);
    }

    /// Lets an engine's time pass.
    pub(crate) fn wake_engine(&mut self, number: usize) {
        let mut events = Vec::new();
        self.engines[number].scheduled = clock::Timestamp::MAX;
        if let Some(model) = &mut self.engines[number].model {
            model.advance(self.now, &mut events);
        }
        self.after_engine(number, events);
    }

    /// Lets an engine die with everything it holds.
    pub(crate) fn kill_engine(&mut self, number: usize) {
        let host = &mut self.engines[number];
        host.model = None;
        host.exports.clear();
        let awaited: Vec<engine_model::WorkKey> = host.awaited.keys().copied().collect();
        for key in awaited {
            self.fail_awaited(number, key, lost());
        }
    }

    /// Returns what is traced of a request.
    pub(crate) fn trace_mut(
        &mut self,
        request: ids::RequestId,
    ) -> Option<&mut request_trace::RequestTrace> {
        let number = self.request_numbers.get(&request)?;
        self.traces.get_mut(*number)
    }

    /// Notes a step of a request.
    pub(crate) fn note_step(&mut self, request: ids::RequestId, step: String) {
        let now = self.now;
        if let Some(trace) = self.trace_mut(request) {
            trace.steps.push((now, step));
        }
    }

    fn call_prefill(
        &mut self,
        number: usize,
        core: usize,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        events: &mut Vec<engine_model::EngineEvent>,
    ) {
        let key = engine_model::WorkKey { request, attempt };
        let entry = self.instances[core].entry.id;
        let shared = self.case.mix.figures().shared_blocks;
        let Some(trace) = self.trace_mut(request) else {
            return;
        };
        let prompt_tokens = trace.plan.prompt_tokens + trace.delivered;
        let own_block = u64::try_from(request.0 >> 64).unwrap_or(0) | 1 << 63;
        let blocks = (1..=u64::from(shared)).chain([own_block]).collect();
        let work = engine_model::PrefillWork::builder()
            .key(key)
            .entry(entry)
            .prompt_tokens(prompt_tokens)
            .blocks(blocks)
            .build();
        let now = self.now;
        let host = &mut self.engines[number];
        host.awaited
            .insert(key, (core, engine_host::AwaitedStep::Prefill));
        let taken = host
            .model
            .as_mut()
            .map(|model| model.prefill(now, work, events));
        if let Some(error) = refusal(taken) {
            self.fail_awaited(number, key, error);
        }
    }

    fn call_import(
        &mut self,
        number: usize,
        core: usize,
        job: &border::TransferJob,
        events: &mut Vec<engine_model::EngineEvent>,
    ) {
        let key = engine_model::WorkKey {
            request: job.request,
            attempt: job.attempt,
        };
        let source = usize::from(job.source.port().saturating_sub(7_000));
        let work = engine_model::ImportWork::builder()
            .key(key)
            .entry(job.entry)
            .kv_handle(job.kv_handle)
            .prompt_tokens(job.prompt_tokens)
            .kv_pieces(job.kv_pieces)
            .build();
        let now = self.now;
        let host = &mut self.engines[number];
        host.sources.insert(key, source);
        host.awaited
            .insert(key, (core, engine_host::AwaitedStep::Import));
        let taken = host
            .model
            .as_mut()
            .map(|model| model.import(now, work, events));
        if let Some(error) = refusal(taken) {
            self.fail_awaited(number, key, error);
        }
    }

    fn call_decode(
        &mut self,
        number: usize,
        core: usize,
        job: &border::DecodeJob,
        events: &mut Vec<engine_model::EngineEvent>,
    ) {
        let key = engine_model::WorkKey {
            request: job.request,
            attempt: job.attempt,
        };
        let Some(trace) = self.trace_mut(job.request) else {
            return;
        };
        trace.attempt = job.attempt;
        let work = engine_model::DecodeWork::builder()
            .key(key)
            .output_tokens(trace.plan.output_tokens)
            .max_tokens(job.max_tokens)
            .offset(job.offset)
            .build();
        let now = self.now;
        let host = &mut self.engines[number];
        host.awaited
            .insert(key, (core, engine_host::AwaitedStep::Decode));
        let taken = host
            .model
            .as_mut()
            .map(|model| model.decode(now, &work, events).map(|_| ()));
        if let Some(error) = refusal(taken) {
            self.fail_awaited(number, key, error);
        }
    }

    fn call_export(
        &mut self,
        number: usize,
        handle: u64,
        target: usize,
        key: engine_model::WorkKey,
        events: &mut Vec<engine_model::EngineEvent>,
    ) {
        let now = self.now;
        let host = &mut self.engines[number];
        let begun = host
            .model
            .as_mut()
            .map(|model| model.export(now, handle, events));
        if matches!(begun, Some(Ok(()))) {
            host.exports.insert(handle, (target, key));
        } else {
            let gone = world_event::EngineCall::SourceGone(key);
            self.send(world_event::WorldEvent::Engine(target, gone));
        }
    }

    fn read_engine(
        &mut self,
        number: usize,
        read: world_event::EngineCall,
        events: &mut Vec<engine_model::EngineEvent>,
    ) {
        let name = self.engine_name(number);
        let now = self.now;
        let model = self.engines[number].model.as_mut();
        let model = model.map(|model| {
            model.advance(now, events);
            &*model
        });
        let (core, event) = match read {
            world_event::EngineCall::Load(core) => {
                let report = model.map(|model| model.load(now));
                (core, control::Event::Load(name, report))
            }
            world_event::EngineCall::Running(core) => {
                let list = model.map(|model| model.running(now));
                (core, control::Event::Running(name, list))
            }
            world_event::EngineCall::CacheEvents(core, after) => {
                let changes = model.map(|model| model.cache_events(now, after));
                let changes = changes.unwrap_or_default();
                (core, control::Event::CacheEvents(name, changes))
            }
            world_event::EngineCall::Status(core) => {
                let status = model.map(|model| border::EngineStatus {
                    role: model.figures().role,
                    loaded: Vec::new(),
                    adapters: Vec::new(),
                    fence: None,
                    last_order: None,
                });
                (core, control::Event::Status(name, status))
            }
            _ => return,
        };
        self.send(world_event::WorldEvent::Core(core, event));
    }

    fn engine_name(&self, number: usize) -> ids::ServerName {
        format!("engine-{number}").into()
    }

    fn after_engine(&mut self, number: usize, events: Vec<engine_model::EngineEvent>) {
        for event in events {
            self.take_engine_event(number, event);
        }
        let now = self.now;
        let host = &mut self.engines[number];
        let Some(model) = &host.model else {
            return;
        };
        let at = model.next_wake().max(now);
        if at < host.scheduled {
            host.scheduled = at;
            self.push(at, world_event::WorldEvent::EngineWake(number));
        }
    }

    fn take_engine_event(&mut self, number: usize, event: engine_model::EngineEvent) {
        match event {
            engine_model::EngineEvent::Prefilled(key, result) => {
                self.note_read(key, &result);
                if let Some((core, _)) = self.engines[number].awaited.remove(&key) {
                    let event = control::Event::Prefilled(key.request, key.attempt, Ok(result));
                    self.send(world_event::WorldEvent::Core(core, event));
                }
            }
            engine_model::EngineEvent::Dropped(key) => {
                self.note_step(key.request, "prefill result dropped".to_owned());
            }
            engine_model::EngineEvent::Pull(key, handle) => {
                if let Some(source) = self.engines[number].sources.remove(&key) {
                    let call = world_event::EngineCall::Export(handle, number, key);
                    self.send(world_event::WorldEvent::Engine(source, call));
                }
            }
            engine_model::EngineEvent::Exported(handle) => {
                if let Some((target, key)) = self.engines[number].exports.remove(&handle) {
                    let call = world_event::EngineCall::SourceSent(key);
                    self.send(world_event::WorldEvent::Engine(target, call));
                }
            }
            engine_model::EngineEvent::Imported(key) => {
                if let Some((core, _)) = self.engines[number].awaited.remove(&key) {
                    let event = control::Event::Imported(key.request, key.attempt, Ok(()));
                    self.send(world_event::WorldEvent::Core(core, event));
                }
            }
            engine_model::EngineEvent::Token {
                key,
                offset,
                finish,
            } => self.take_token(number, key, offset, finish),
        }
    }

    fn note_read(&mut self, key: engine_model::WorkKey, result: &border::PrefillResult) {
        let read = u64::from(result.prompt_tokens - result.cached_tokens);
        let step = format!("read {read} of {} tokens", result.prompt_tokens);
        self.note_step(key.request, step);
        let counted = self.now >= self.count_begin;
        if let Some(trace) = self.trace_mut(key.request)
            && counted
        {
            trace.read_tokens += read;
            trace.last_read = read;
        }
    }

    fn take_token(
        &mut self,
        number: usize,
        key: engine_model::WorkKey,
        offset: u32,
        finish: Option<border::FinishReason>,
    ) {
        let Some((core, _)) = self.engines[number].awaited.get(&key).copied() else {
            return;
        };
        if finish.is_some() {
            self.engines[number].awaited.remove(&key);
        }
        let now = self.now;
        let alive = self.instances[core].core.is_some();
        let Some(trace) = self.trace_mut(key.request) else {
            return;
        };
        let wanted = alive && trace.attempt == key.attempt && trace.delivered == offset;
        if !wanted || trace.ended_at.is_some() {
            return;
        }
        trace.delivered += 1;
        trace.first_at.get_or_insert(now);
        trace.last_at = now;
        let delivered = trace.delivered;
        if let Some(finish) = finish {
            let (request, attempt) = (key.request, key.attempt);
            let event = control::Event::DecodeEnded(request, attempt, delivered, Ok(finish));
            self.send(world_event::WorldEvent::Core(core, event));
        } else if delivered % DELIVERY_STEP == 0 {
            let event = control::Event::Delivered(key.request, key.attempt, delivered);
            self.send(world_event::WorldEvent::Core(core, event));
        }
    }

    fn fail_awaited(
        &mut self,
        number: usize,
        key: engine_model::WorkKey,
        error: border::BorderError,
    ) {
        let Some((core, step)) = self.engines[number].awaited.remove(&key) else {
            return;
        };
        self.note_step(key.request, format!("{step:?} failed: {error}"));
        let delivered = self
            .trace_mut(key.request)
            .map_or(0, |trace| trace.delivered);
        let (request, attempt) = (key.request, key.attempt);
        let event = match step {
            engine_host::AwaitedStep::Prefill => {
                control::Event::Prefilled(request, attempt, Err(error))
            }
            engine_host::AwaitedStep::Import => {
                control::Event::Imported(request, attempt, Err(error))
            }
            engine_host::AwaitedStep::Decode => {
                control::Event::DecodeEnded(request, attempt, delivered, Err(error))
            }
        };
        self.send(world_event::WorldEvent::Core(core, event));
    }
}

fn lost() -> border::BorderError {
    border::BorderError::Lost {
        detail: "the engine is gone".to_owned(),
    }
}

/// Returns the error of a call that an engine, or nobody, has answered.
fn refusal(taken: Option<Result<(), engine_model::ModelError>>) -> Option<border::BorderError> {
    match taken {
        Some(Ok(())) => None,
        Some(Err(engine_model::ModelError::Gone)) => Some(border::BorderError::Gone {
            detail: "not held".to_owned(),
        }),
        Some(Err(error)) => Some(border::BorderError::Refused {
            detail: error.to_string(),
        }),
        None => Some(border::BorderError::NotSent {
            detail: "connection refused".to_owned(),
        }),
    }
}
