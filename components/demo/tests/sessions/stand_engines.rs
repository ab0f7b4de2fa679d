//! The engines of a session, as timing models joined by hand.

use std::collections;

use fakes::engine_model;

/// The engines of a session.
pub struct StandEngines {
    models: collections::BTreeMap<ids::ServerName, engine_model::EngineModel>,
    addresses: collections::BTreeMap<std::net::SocketAddr, ids::ServerName>,
    /// Engine and handle that each import comes from.
    sources: collections::BTreeMap<engine_model::WorkKey, (ids::ServerName, ids::ServerName, u64)>,
}

/// Something that an engine tells the instance.
pub type EngineNews = (ids::ServerName, engine_model::EngineEvent);

impl StandEngines {
    /// Makes the engines of a state.
    pub fn new(state: &note::StateInForce) -> Self {
        let models = state.engines.values().map(|entry| {
            let figures = engine_model::EngineFigures::from_entry(entry, 1);
            (entry.name.clone(), engine_model::EngineModel::new(figures))
        });
        let addresses = state.engines.values();
        Self {
            models: models.collect(),
            addresses: addresses
                .map(|entry| (entry.address, entry.name.clone()))
                .collect(),
            sources: collections::BTreeMap::new(),
        }
    }

    /// Returns when the next thing happens.
    pub fn next_wake(&self) -> clock::Timestamp {
        let wakes = self
            .models
            .values()
            .map(engine_model::EngineModel::next_wake);
        wakes.min().unwrap_or(clock::Timestamp::MAX)
    }

    /// Returns an engine.
    pub fn model(&mut self, name: &ids::ServerName) -> &mut engine_model::EngineModel {
        self.models.get_mut(name).unwrap()
    }

    /// Returns the pieces of memory that each engine holds.
    pub fn held_pieces(&self) -> Vec<(&ids::ServerName, u32)> {
        let models = self.models.iter();
        models
            .map(|(name, model)| (name, model.held_pieces()))
            .collect()
    }

    /// Begins an import.
    pub fn import(
        &mut self,
        now: clock::Timestamp,
        name: &ids::ServerName,
        job: &border::TransferJob,
    ) -> Vec<EngineNews> {
        let key = engine_model::WorkKey {
            request: job.request,
            attempt: job.attempt,
        };
        let work = engine_model::ImportWork::builder()
            .key(key)
            .entry(job.entry)
            .kv_handle(job.kv_handle)
            .prompt_tokens(job.prompt_tokens)
            .kv_pieces(job.kv_pieces)
            .build();
        let source = self.addresses[&job.source].clone();
        self.sources
            .insert(key, (name.clone(), source, job.kv_handle));
        let mut events = Vec::new();
        self.model(name).import(now, work, &mut events).unwrap();
        self.settle(now, name, events)
    }

    /// Lets time pass.
    pub fn advance(&mut self, now: clock::Timestamp) -> Vec<EngineNews> {
        let names: Vec<_> = self.models.keys().cloned().collect();
        let mut news = Vec::new();
        for name in names {
            let mut events = Vec::new();
            self.model(&name).advance(now, &mut events);
            news.extend(self.settle(now, &name, events));
        }
        news
    }

    /// Joins the two ends of transfers and returns the rest.
    pub fn settle(
        &mut self,
        now: clock::Timestamp,
        name: &ids::ServerName,
        events: Vec<engine_model::EngineEvent>,
    ) -> Vec<EngineNews> {
        let mut queue: collections::VecDeque<EngineNews> = events
            .into_iter()
            .map(|event| (name.clone(), event))
            .collect();
        let mut news = Vec::new();
        while let Some((name, event)) = queue.pop_front() {
            let mut caused = Vec::new();
            let at = match event {
                engine_model::EngineEvent::Pull(key, handle) => {
                    let source = self.sources[&key].1.clone();
                    self.model(&source)
                        .export(now, handle, &mut caused)
                        .unwrap();
                    source
                }
                engine_model::EngineEvent::Exported(handle) => {
                    let import = self
                        .sources
                        .iter()
                        .find(|(_, (_, source, number))| *source == name && *number == handle);
                    let (key, (target, ..)) = import.unwrap();
                    let (key, target) = (*key, target.clone());
                    self.model(&target).source_sent(now, key, &mut caused);
                    target
                }
                event => {
                    news.push((name, event));
                    continue;
                }
            };
            queue.extend(caused.into_iter().map(|event| (at.clone(), event)));
        }
        news
    }
}
