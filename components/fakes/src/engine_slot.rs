//! One engine of a fleet of stand-ins.

use std::collections;

use tokio::sync::oneshot;

use crate::{engine_model, token_record};

/// Those who wait for work, by attempt.
pub(crate) type Waiters<Done> =
    collections::BTreeMap<engine_model::WorkKey, Vec<oneshot::Sender<Done>>>;

/// One engine of a fleet of stand-ins, with those who wait for it.
pub(crate) struct EngineSlot {
    pub(crate) model: engine_model::EngineModel,
    pub(crate) prefills: Waiters<border::PrefillResult>,
    /// Results of prefills that are kept or on their way.
    pub(crate) results: collections::BTreeMap<engine_model::WorkKey, border::PrefillResult>,
    pub(crate) imports: Waiters<()>,
    /// Attempts whose KV cache has arrived.
    pub(crate) imported: collections::BTreeSet<engine_model::WorkKey>,
    /// Engine and handle that each import under way comes from.
    pub(crate) sources: collections::BTreeMap<engine_model::WorkKey, (std::net::SocketAddr, u64)>,
    pub(crate) records: collections::BTreeMap<engine_model::WorkKey, token_record::TokenRecord>,
    pub(crate) loaded: Vec<(ids::ModelName, ids::VersionName)>,
    pub(crate) adapters: Vec<ids::AdapterName>,
    pub(crate) checks_fence: bool,
    pub(crate) fence: u128,
    pub(crate) last_order: Option<u64>,
}

impl EngineSlot {
    /// Makes the slot of an engine that a release note describes.
    pub(crate) fn new(
        entry: &note::EngineEntry,
        loaded: Vec<(ids::ModelName, ids::VersionName)>,
    ) -> Self {
        let seed = xxhash_rust::xxh3::xxh3_64(entry.name.as_str().as_bytes());
        let mut figures = engine_model::EngineFigures::from_entry(entry, seed);
        if figures.role == note::EngineRole::Flexible {
            figures.role = note::EngineRole::Decode;
        }
        Self {
            model: engine_model::EngineModel::new(figures),
            prefills: collections::BTreeMap::new(),
            results: collections::BTreeMap::new(),
            imports: collections::BTreeMap::new(),
            imported: collections::BTreeSet::new(),
            sources: collections::BTreeMap::new(),
            records: collections::BTreeMap::new(),
            loaded,
            adapters: Vec::new(),
            checks_fence: entry.fencing == note::FencingSupport::Enforced,
            fence: 0,
            last_order: None,
        }
    }

    /// Forgets everything of an attempt.
    pub(crate) fn forget(&mut self, key: engine_model::WorkKey) {
        self.prefills.remove(&key);
        self.results.remove(&key);
        self.imports.remove(&key);
        self.imported.remove(&key);
        self.sources.remove(&key);
        self.records.remove(&key);
    }

    /// Carries out an order.
    pub(crate) fn order(&mut self, order: border::EngineOrder) -> border::OrderAnswer {
        if self.checks_fence && order.fence < self.fence {
            return border::OrderAnswer::Fenced;
        }
        self.fence = self.fence.max(order.fence);
        self.last_order = Some(order.order);
        match order.action {
            border::OrderAction::LoadModel(model, version) => {
                self.loaded.retain(|(loaded, _)| *loaded != model);
                self.loaded.push((model, version));
            }
            border::OrderAction::UnloadModel(model, version) => {
                self.loaded
                    .retain(|loaded| *loaded != (model.clone(), version.clone()));
            }
            border::OrderAction::LoadAdapter(_, adapter) => {
                self.adapters.retain(|loaded| *loaded != adapter);
                self.adapters.push(adapter);
            }
            border::OrderAction::UnloadAdapter(_, adapter) => {
                self.adapters.retain(|loaded| *loaded != adapter);
            }
            border::OrderAction::TakeRole(role) => self.model.take_role(role),
        }
        border::OrderAnswer::Done
    }

    /// Returns what is loaded and the role.
    pub(crate) fn status(&self) -> border::EngineStatus {
        border::EngineStatus {
            role: self.model.figures().role,
            loaded: self.loaded.clone(),
            adapters: self.adapters.clone(),
            fence: self.checks_fence.then_some(self.fence),
            last_order: self.last_order,
        }
    }
}
