//! Orders to engines.

use crate::{backend, backend_entry, order_gate, relay_core, stage_planner};

/// Part of an engine's memory that is in use when it is full.
const USED_MEMORY: f64 = 0.8;

/// Bits of a fencing number that tell instances apart.
const TIE_BITS: u32 = 8;

/// An order to an engine to take another stage.
#[derive(Clone, Debug)]
pub struct StageOrder {
    /// The engine.
    pub key: backend::BackendKey,
    /// Its entry.
    pub entry: backend_entry::BackendEntry,
    /// Stage that it is to take.
    pub stage: backend_entry::EngineStage,
    /// Fencing number, larger than those of earlier orders.
    pub fence: u64,
    /// Engines by stage before.
    pub share: stage_planner::PoolSplit,
    /// Engine time that one request takes.
    pub cost: stage_planner::EngineCost,
}

impl relay_core::RelayCore {
    /// Returns the orders that are due, if this instance may give any.
    pub fn due_orders(&mut self, now: clock::Timestamp, wall_millis: u64) -> Vec<StageOrder> {
        let view = self.order_view(now, wall_millis);
        if !self.order_gate.allows(now, &view) || self.leaving {
            return Vec::new();
        }
        self.fresh_usage(now);
        let services: Vec<ids::ServiceName> = self.averages.keys().cloned().collect();
        services
            .iter()
            .flat_map(|service| self.service_orders(now, wall_millis, service))
            .collect()
    }

    /// Takes in that an order was refused because another one had a larger fencing number.
    pub fn record_fenced_order(&mut self, fence: u64) {
        self.fence_floor = self.fence_floor.max(fence).saturating_mul(2);
    }

    fn service_orders(
        &mut self,
        now: clock::Timestamp,
        wall_millis: u64,
        service: &ids::ServiceName,
    ) -> Vec<StageOrder> {
        let share = self.engine_share(service);
        let Some(cost) = self.engine_cost(service) else {
            return Vec::new();
        };
        let planner = self.planners.entry(service.clone()).or_default();
        let Some(change) = planner.plan(now, share, &cost) else {
            return Vec::new();
        };
        planner.note_change(now);
        (0..change.engines)
            .map_while(|_| self.stage_order(now, wall_millis, service, change.stage, share, cost))
            .collect()
    }

    fn stage_order(
        &mut self,
        now: clock::Timestamp,
        wall_millis: u64,
        service: &ids::ServiceName,
        stage: backend_entry::EngineStage,
        share: stage_planner::PoolSplit,
        cost: stage_planner::EngineCost,
    ) -> Option<StageOrder> {
        let (key, entry) = self.idlest_engine(now, service, stage)?;
        let fence = self.next_fence(wall_millis);
        self.last_order = Some((now, fence));
        if let Some(engine) = self.book.get_mut(key) {
            engine.changes_stage(now);
        }
        Some(StageOrder {
            key,
            entry,
            stage,
            fence,
            share,
            cost,
        })
    }

    fn order_view(&self, now: clock::Timestamp, wall_millis: u64) -> order_gate::OrderView {
        let (live, known) = self.instances.counts(now);
        order_gate::OrderView {
            rank: self.instances.rank(now),
            live,
            known,
            silent_for: self.instances.silent_for(now),
            other_order_age: self.instances.last_order_age(now),
            wall_millis,
        }
    }

    fn next_fence(&mut self, wall_millis: u64) -> u64 {
        let seen = self.instances.largest_fence();
        let last = self.last_order.map_or(0, |(_, fence)| fence);
        let floor = seen.max(last).max(self.fence_floor);
        let tie = u64::from(self.settings.address.octets()[3]);
        let term = wall_millis.max((floor >> TIE_BITS) + 1);
        (term << TIE_BITS) | tie
    }

    fn engine_share(&self, service: &ids::ServiceName) -> stage_planner::PoolSplit {
        let count = |stage| {
            let engines = self
                .book
                .table()
                .values()
                .filter(|engine| engine.is_current() && engine.entry.service == *service)
                .filter(|engine| engine.entry.stage == Some(stage))
                .count();
            u32::try_from(engines).unwrap_or(u32::MAX)
        };
        stage_planner::PoolSplit {
            prefill: count(backend_entry::EngineStage::Prefill),
            decode: count(backend_entry::EngineStage::Decode),
        }
    }

    fn engine_cost(&self, service: &ids::ServiceName) -> Option<stage_planner::EngineCost> {
        let size = self.engine_size(service)?;
        let average = self.averages.get(service)?;
        let mut rates: Vec<f64> = self
            .book
            .table()
            .values()
            .filter(|engine| engine.entry.service == *service)
            .filter(|engine| engine.entry.stage == Some(backend_entry::EngineStage::Prefill))
            .map(|engine| engine.prefill_rate)
            .collect();
        rates.sort_by(f64::total_cmp);
        let rate = rates.get(rates.len() / 2);
        let rate = rate.unwrap_or(&backend::USUAL_PREFILL_RATE);
        let memory = f64::from(size.kv_tokens.max(1)) * USED_MEMORY;
        Some(stage_planner::EngineCost {
            prefill_millis: average.prompt_tokens / rate,
            decode_millis: average.held_millis * average.mean_tokens / memory,
        })
    }

    /// Returns the engine that has least to do among those that may go over to a stage.
    fn idlest_engine(
        &self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        stage: backend_entry::EngineStage,
    ) -> Option<(backend::BackendKey, backend_entry::BackendEntry)> {
        self.book
            .table()
            .iter()
            .filter(|(_, engine)| engine.takes_work(now) && engine.entry.service == *service)
            .filter(|(_, engine)| engine.entry.stage.is_some_and(|present| present != stage))
            .min_by_key(|(_, engine)| (engine.running(), engine.prefill_tokens()))
            .map(|(key, engine)| (key, engine.entry.clone()))
    }
}
