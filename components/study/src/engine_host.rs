//! An engine of the study with the instances that wait for it.

use std::collections;

use fakes::engine_model;

/// What an instance waits for at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AwaitedStep {
    /// The end of a prefill.
    Prefill,
    /// The end of a transfer.
    Import,
    /// Tokens.
    Decode,
}

/// An engine of the study with the instances that wait for it.
pub struct EngineHost {
    /// The model; `None` once the engine has died.
    pub model: Option<engine_model::EngineModel>,
    /// Instances that wait, by the work.
    pub awaited: collections::BTreeMap<engine_model::WorkKey, (usize, AwaitedStep)>,
    /// Imports that wait for this engine's exports, by the handle.
    pub exports: collections::BTreeMap<u64, (usize, engine_model::WorkKey)>,
    /// Sources of the imports of this engine.
    pub sources: collections::BTreeMap<engine_model::WorkKey, usize>,
    /// Time of the next event that is in the queue.
    pub scheduled: clock::Timestamp,
}

impl EngineHost {
    /// Makes an idle engine.
    pub fn new(entry: &note::EngineEntry, seed: u64) -> Self {
        let figures = engine_model::EngineFigures::from_entry(entry, seed);
        Self {
            model: Some(engine_model::EngineModel::new(figures)),
            awaited: collections::BTreeMap::new(),
            exports: collections::BTreeMap::new(),
            sources: collections::BTreeMap::new(),
            scheduled: clock::Timestamp::MAX,
        }
    }
}
