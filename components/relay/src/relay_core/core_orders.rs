//! Orders to engines to change stage.

use std::collections;

use crate::{
    backend, backend_entry, engine_pool, order_gate, relay_core, software_key, stage_planner,
};

/// Utilization of a decode engine's memory under full load.
const MEMORY_UTILIZATION: f64 = 0.8;

/// Low bits of a fencing number that identify the instance.
const INSTANCE_BITS: u32 = 8;

/// Order to an engine to change stage.
#[derive(Clone, Debug)]
pub struct StageOrder {
    /// Key of the engine.
    pub key: backend::BackendKey,
    /// Entry of the engine.
    pub entry: backend_entry::BackendEntry,
    /// New stage of the engine.
    pub stage: backend_entry::EngineStage,
    /// Fencing number, larger than that of each earlier order.
    pub fence: u64,
    /// Engines by stage before the change.
    pub share: stage_planner::PoolSplit,
    /// Engine time of one request.
    pub cost: stage_planner::EngineCost,
}

impl relay_core::RelayCore {
    /// Returns the orders to send now; empty unless this instance may give orders.
    pub fn due_orders(&mut self, now: clock::Timestamp, wall_millis: u64) -> Vec<StageOrder> {
        let context = self.order_context(now, wall_millis);
        if !self.order_gate.allows(now, &context) || self.is_draining() {
            return Vec::new();
        }
        self.refresh_stale_usage(now);
        let services: Vec<ids::ServiceName> = self.combined_estimates.keys().cloned().collect();
        let mut orders = Vec::new();
        for service in &services {
            if self.is_out_of_reach(now, service) {
                continue;
            }
            let versions = self.current_versions(service);
            for software in &versions {
                let pool = engine_pool::EnginePool {
                    service,
                    software: Some(*software),
                };
                let is_mixed = versions.len() > 1;
                orders.extend(self.pool_orders(now, wall_millis, pool, is_mixed));
            }
        }
        orders
    }

    /// Records that an engine refused an order with fencing number `fence` because it had accepted
    /// a larger one; doubles the lower bound of the next fencing number.
    pub fn record_fenced_order(&mut self, fence: u64) {
        self.fence_floor = self.fence_floor.max(fence).saturating_mul(2);
    }

    /// Returns the software versions of a service's engines that aren't leaving.
    fn current_versions(
        &self,
        service: &ids::ServiceName,
    ) -> collections::BTreeSet<software_key::SoftwareKey> {
        let engines = self.backends.table().values();
        engines
            .filter(|engine| engine.is_current() && engine.entry.service == *service)
            .filter(|engine| engine.entry.stage.is_some())
            .map(|engine| engine.software)
            .collect()
    }

    /// Returns the orders to the engines of one software version, whose prefill results don't fit
    /// engines of another one. `is_mixed` tells whether the service has other versions.
    fn pool_orders(
        &mut self,
        now: clock::Timestamp,
        wall_millis: u64,
        pool: engine_pool::EnginePool<'_>,
        is_mixed: bool,
    ) -> Vec<StageOrder> {
        let split = self.pool_split(pool);
        let Some(cost) = self.engine_cost(pool.service) else {
            return Vec::new();
        };
        let planner = self
            .planners
            .entry(pool.software.unwrap_or_default())
            .or_default();
        let Some(change) = planner.plan(now, split, &cost, is_mixed) else {
            return Vec::new();
        };
        planner.record_change(now);
        (0..change.engines)
            .map_while(|_| self.stage_order(now, wall_millis, pool, change.stage, split, cost))
            .collect()
    }

    fn stage_order(
        &mut self,
        now: clock::Timestamp,
        wall_millis: u64,
        pool: engine_pool::EnginePool<'_>,
        stage: backend_entry::EngineStage,
        split: stage_planner::PoolSplit,
        cost: stage_planner::EngineCost,
    ) -> Option<StageOrder> {
        let (key, entry) = self.least_loaded_engine(now, pool, stage)?;
        let fence = self.next_fence(wall_millis);
        self.last_order = Some((now, fence));
        if let Some(engine) = self.backends.get_mut(key) {
            engine.start_stage_change(now);
            self.limits.count_request(now, engine.incarnation);
        }
        Some(StageOrder {
            key,
            entry,
            stage,
            fence,
            share: split,
            cost,
        })
    }

    fn order_context(&self, now: clock::Timestamp, wall_millis: u64) -> order_gate::OrderContext {
        let (live, known) = self.instances.alive_and_known(now);
        order_gate::OrderContext {
            rank: self.instances.rank(now),
            live,
            known,
            silent_for: self.instances.silent_for(now),
            other_order_age: self.instances.last_order_age(now),
            wall_millis,
        }
    }

    fn next_fence(&mut self, wall_millis: u64) -> u64 {
        let largest_seen = self.instances.largest_fence();
        let last = self.last_order.map_or(0, |(_, fence)| fence);
        let floor = largest_seen.max(last).max(self.fence_floor);
        let instance = u64::from(self.settings.address.octets()[3]);
        let term = wall_millis.max((floor >> INSTANCE_BITS) + 1);
        (term << INSTANCE_BITS) | instance
    }

    fn pool_split(&self, pool: engine_pool::EnginePool<'_>) -> stage_planner::PoolSplit {
        let count = |stage| {
            let engines = self
                .backends
                .table()
                .values()
                .filter(|engine| engine.is_current() && pool.contains(engine))
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
        let estimate = self.estimate(service)?;
        let memory = f64::from(size.kv_tokens.max(1)) * MEMORY_UTILIZATION;
        Some(stage_planner::EngineCost {
            prefill_millis: estimate.prompt_tokens * estimate.prefill_model().token_millis,
            decode_millis: estimate.slot_millis * estimate.mean_tokens / memory,
        })
    }

    /// Returns the engine with the least load among those that may change to `stage`.
    fn least_loaded_engine(
        &self,
        now: clock::Timestamp,
        pool: engine_pool::EnginePool<'_>,
        stage: backend_entry::EngineStage,
    ) -> Option<(backend::BackendKey, backend_entry::BackendEntry)> {
        self.backends
            .table()
            .iter()
            .filter(|(_, engine)| engine.accepts_work(now) && pool.contains(engine))
            .filter(|(_, engine)| self.limits.has_token(now, engine.incarnation))
            .filter(|(_, engine)| engine.entry.stage.is_some_and(|current| current != stage))
            .min_by_key(|(_, engine)| (engine.running(), engine.prefill_tokens()))
            .map(|(key, engine)| (key, engine.entry.clone()))
    }
}
