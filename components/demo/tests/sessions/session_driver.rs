//! Drives one core and the engines of its site under virtual time.

use std::{collections, time};

use fakes::engine_model;

use crate::stand_engines;

/// Time that an exchange with the platform or a report of an engine takes.
const EXCHANGE_SPAN: time::Duration = time::Duration::from_millis(2);

/// Drives one core and the engines of its site under virtual time.
pub struct SessionDriver {
    core: control::ControlCore,
    now: clock::Timestamp,
    /// Events on their way to the core, in order of time and of sending.
    queue: collections::BTreeMap<(clock::Timestamp, u64), control::Event>,
    sent: u64,
    notes: Vec<border::NoteValue>,
    watch: Option<ids::Revision>,
    engines: stand_engines::StandEngines,
    loaded: Vec<(ids::ModelName, ids::VersionName)>,
    prompts: collections::BTreeMap<ids::RequestId, u32>,
    output_tokens: u32,
    calls_lost: bool,
    lines: Vec<String>,
}

impl SessionDriver {
    /// Makes an instance whose site is described by the first note.
    pub fn new(first_note: &str) -> Self {
        let note = note::ReleaseNote::from_yaml(first_note).unwrap();
        let state = note::StateInForce::from_base(&note);
        let config = control::CoreConfig::builder()
            .own(own_entry())
            .incarnation(ids::Incarnation(1))
            .seed(1)
            .build();
        let mut driver = Self {
            core: control::ControlCore::new(config),
            now: clock::Timestamp::default(),
            queue: collections::BTreeMap::new(),
            sent: 0,
            notes: Vec::new(),
            watch: None,
            engines: stand_engines::StandEngines::new(&state),
            loaded: vec![("quote-7b".into(), "1".into())],
            prompts: collections::BTreeMap::new(),
            output_tokens: 1,
            calls_lost: false,
            lines: Vec::new(),
        };
        driver.publish(1, first_note);
        driver
    }

    /// Serves a note at the configuration service.
    pub fn publish(&mut self, revision: u64, text: &str) {
        self.log(format!("service    publishes revision {revision}"));
        self.notes.push(border::NoteValue {
            revision: ids::Revision(revision),
            text: text.to_owned(),
        });
        if let Some(after) = self.watch.take() {
            self.answer_service(after);
        }
    }

    /// Sets the length of answers, in tokens.
    pub fn answer_with(&mut self, output_tokens: u32) {
        self.output_tokens = output_tokens;
    }

    /// Makes backend servers die over their calls.
    pub fn lose_calls(&mut self) {
        self.calls_lost = true;
    }

    /// Gives an event of a caller to the core.
    pub fn give(&mut self, event: control::Event) {
        match &event {
            control::Event::RequestArrived(spec) => {
                self.prompts.insert(spec.request, spec.prompt_tokens);
                let line = format!(
                    "caller     asks for a {} of {} tokens",
                    spec.class, spec.prompt_tokens
                );
                self.log(line);
            }
            control::Event::CallArrived(spec) => {
                self.log(format!("caller     calls {}", spec.service));
            }
            control::Event::CallerGone(_) => self.log("caller     closes the connection"),
            _ => {}
        }
        self.handle(event);
    }

    /// Lets time pass.
    pub fn run_for(&mut self, span: time::Duration) {
        let until = self.now + span;
        loop {
            let event_at = self.queue.first_key_value().map(|((at, _), _)| *at);
            let wakes = [
                event_at.unwrap_or(clock::Timestamp::MAX),
                self.core.next_wake(),
                self.engines.next_wake(),
            ];
            let next = wakes.into_iter().min().unwrap_or(until).max(self.now);
            if next > until {
                self.now = until;
                return;
            }
            self.now = next;
            self.step(event_at == Some(next));
        }
    }

    /// Returns the session so far, with what the engines hold at its end.
    pub fn transcript(&self) -> String {
        let mut text: String = self.lines.iter().map(|line| format!("{line}\n")).collect();
        for (engine, pieces) in self.engines.held_pieces() {
            text.push_str(&format!("at the end {engine} holds {pieces} pieces\n"));
        }
        text
    }

    fn step(&mut self, has_event: bool) {
        for news in self.engines.advance(self.now) {
            self.take_news(news);
        }
        if has_event && let Some((_, event)) = self.queue.pop_first() {
            self.handle(event);
        }
        if self.core.next_wake() <= self.now {
            self.handle(control::Event::Wake);
        }
    }

    fn handle(&mut self, event: control::Event) {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        for action in actions {
            self.run(action);
        }
    }

    fn run(&mut self, action: control::Action) {
        match action {
            control::Action::Prefill {
                request,
                attempt,
                engine,
            } => self.prefill(request, attempt, &engine),
            control::Action::Import { engine, job } => {
                self.log(format!(
                    "instance   has {engine} import {} tokens as {} pieces",
                    job.prompt_tokens, job.kv_pieces
                ));
                let news = self.engines.import(self.now, &engine, &job);
                news.into_iter().for_each(|news| self.take_news(news));
            }
            control::Action::Decode { engine, job } => self.decode(&engine, &job),
            control::Action::Cancel(engine, request, attempt) => {
                self.log(format!("instance   cancels attempt {attempt} at {engine}"));
                let key = engine_model::WorkKey { request, attempt };
                let mut events = Vec::new();
                self.engines
                    .model(&engine)
                    .cancel(self.now, key, &mut events);
            }
            control::Action::PrefillWasted(tokens, cause) => {
                self.log(format!("instance   counts {tokens} tokens wasted: {cause}"));
            }
            control::Action::FinishRequest(_, outcome) => {
                self.log(format!("instance   ends the request: {outcome:?}"));
            }
            control::Action::Attempt {
                request,
                attempt,
                server,
                ..
            } => self.attempt(request, attempt, &server),
            control::Action::FinishCall(_, outcome) => {
                self.log(format!("instance   ends the call: {outcome:?}"));
            }
            control::Action::InForce(state) => {
                let line = format!(
                    "instance   has revision {} in force: {} engines, {} workspaces",
                    state.revision,
                    state.engines.values().count(),
                    state.workspaces.values().count()
                );
                self.log(line);
            }
            control::Action::NoteRefused(revision, reason) => {
                self.log(format!("instance   refuses revision {revision}: {reason}"));
            }
            control::Action::Order(engine, order, _) => {
                self.log(format!("instance   orders {engine}: {:?}", order.action));
                let answer = Some(border::OrderAnswer::Done);
                self.send(control::Event::OrderAnswered(engine, order.order, answer));
            }
            action => self.answer_reading(action),
        }
    }

    /// Answers what an instance reads now and then; these exchanges aren't in the transcript.
    fn answer_reading(&mut self, action: control::Action) {
        match action {
            control::Action::ReadList => self.send(control::Event::Listed(vec![own_entry()])),
            control::Action::ReadService(after) => self.answer_service(after),
            control::Action::WatchService(after) => {
                if self.notes.iter().any(|note| note.revision > after) {
                    self.answer_service(after);
                } else {
                    self.watch = Some(after);
                }
            }
            control::Action::ReadLoad(engine) => {
                let report = self.engines.model(&engine).load(self.now);
                self.send(control::Event::Load(engine, Some(report)));
            }
            control::Action::ReadRunning(engine) => {
                let list = self.engines.model(&engine).running(self.now);
                self.send(control::Event::Running(engine, Some(list)));
            }
            control::Action::ReadCacheEvents(engine, after) => {
                let events = self.engines.model(&engine).cache_events(self.now, after);
                self.send(control::Event::CacheEvents(engine, events));
            }
            control::Action::ReadStatus(engine) => {
                let status = border::EngineStatus {
                    role: self.engines.model(&engine).figures().role,
                    loaded: self.loaded.clone(),
                    adapters: Vec::new(),
                    fence: None,
                    last_order: None,
                };
                self.send(control::Event::Status(engine, Some(status)));
            }
            _ => {}
        }
    }

    fn answer_service(&mut self, after: ids::Revision) {
        let newer = self.notes.iter().filter(|note| note.revision > after);
        let values = newer.cloned().collect();
        self.send(control::Event::ServiceResponded(Some(values)));
    }

    fn prefill(
        &mut self,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        engine: &ids::ServerName,
    ) {
        let prompt_tokens = self.prompts[&request];
        self.log(format!(
            "instance   has {engine} read {prompt_tokens} tokens"
        ));
        let work = engine_model::PrefillWork::builder()
            .key(engine_model::WorkKey { request, attempt })
            .entry(ids::InstanceId(1))
            .prompt_tokens(prompt_tokens)
            .build();
        let mut events = Vec::new();
        let model = self.engines.model(engine);
        model.prefill(self.now, work, &mut events).unwrap();
        let news = self.engines.settle(self.now, engine, events);
        news.into_iter().for_each(|news| self.take_news(news));
    }

    fn decode(&mut self, engine: &ids::ServerName, job: &border::DecodeJob) {
        self.log(format!(
            "instance   has {engine} generate from {}",
            job.offset
        ));
        let work = engine_model::DecodeWork::builder()
            .key(engine_model::WorkKey {
                request: job.request,
                attempt: job.attempt,
            })
            .output_tokens(self.output_tokens)
            .max_tokens(job.max_tokens)
            .offset(job.offset)
            .build();
        let mut events = Vec::new();
        let model = self.engines.model(engine);
        model.decode(self.now, &work, &mut events).unwrap();
    }

    fn attempt(
        &mut self,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        server: &ids::ServerName,
    ) {
        self.log(format!("instance   sends attempt {attempt} to {server}"));
        let result = if self.calls_lost {
            self.log(format!("{server:<10} runs the call and dies"));
            call::AttemptResult::Failed(border::BorderError::Lost {
                detail: "the connection broke".to_owned(),
            })
        } else {
            call::AttemptResult::Replied(200)
        };
        self.send(control::Event::AttemptEnded(request, attempt, result));
    }

    fn take_news(&mut self, (engine, event): stand_engines::EngineNews) {
        match event {
            engine_model::EngineEvent::Prefilled(key, result) => {
                self.log(format!("{engine:<10} has read the prompt"));
                self.handle(control::Event::Prefilled(
                    key.request,
                    key.attempt,
                    Ok(result),
                ));
            }
            engine_model::EngineEvent::Imported(key) => {
                self.log(format!("{engine:<10} has the KV cache"));
                self.handle(control::Event::Imported(key.request, key.attempt, Ok(())));
            }
            engine_model::EngineEvent::Token {
                key,
                offset,
                finish,
            } => self.take_token(&engine, key, offset, finish),
            engine_model::EngineEvent::Dropped(_) => {
                self.log(format!("{engine:<10} drops the KV cache"));
            }
            _ => {}
        }
    }

    fn take_token(
        &mut self,
        engine: &ids::ServerName,
        key: engine_model::WorkKey,
        offset: u32,
        finish: Option<border::FinishReason>,
    ) {
        self.log(format!("{engine:<10} generates token {offset}"));
        let (request, attempt) = (key.request, key.attempt);
        if offset == 0 {
            self.handle(control::Event::Delivered(request, attempt, 1));
        }
        if let Some(finish) = finish {
            let event = control::Event::DecodeEnded(request, attempt, offset + 1, Ok(finish));
            self.handle(event);
        }
    }

    fn send(&mut self, event: control::Event) {
        self.sent += 1;
        let at = self.now + EXCHANGE_SPAN;
        self.queue.insert((at, self.sent), event);
    }

    fn log(&mut self, line: impl AsRef<str>) {
        let micros = self.now.as_micros();
        let (millis, rest) = (micros / 1_000, micros % 1_000);
        let line = line.as_ref();
        self.lines.push(format!("{millis:>6}.{rest:03} {line}"));
    }
}

fn own_entry() -> border::InstanceEntry {
    border::InstanceEntry::builder()
        .id(ids::InstanceId(1))
        .address(([127, 0, 0, 1], 9_000))
        .region("eu-west")
        .data_centre("dc-1")
        .build()
}
