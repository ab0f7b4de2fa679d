//! The state that an owner keeps of one cell.

use std::{collections, sync, time};

use crate::{
    ended_work, engine_state, held_lease, keys, lease_phase, output_estimator, prefix_hints,
    work_key,
};

/// Age up to which a computed stream completion rate is reused.
const RATE_LIFETIME: time::Duration = time::Duration::from_millis(100);

/// Longest time since the last update for which a stream's progress is extrapolated.
const EXTRAPOLATION_LIMIT: time::Duration = time::Duration::from_secs(30);

/// The state that an owner keeps of one cell.
///
/// A lease is counted at its prefill engine until prefill ends and at its decode engine until the
/// lease is removed.
#[derive(Clone, Debug, Default)]
pub struct CellState {
    engines: slotmap::SlotMap<keys::EngineKey, engine_state::EngineState>,
    names: collections::BTreeMap<ids::ServerName, keys::EngineKey>,
    leases: slotmap::SlotMap<keys::LeaseKey, held_lease::HeldLease>,
    by_id: collections::BTreeMap<ids::LeaseId, keys::LeaseKey>,
    by_work: collections::BTreeMap<work_key::WorkKey, keys::LeaseKey>,
    output_estimators: collections::BTreeMap<ids::ClassName, output_estimator::OutputEstimator>,
    /// Work that ended recently.
    pub ended: ended_work::EndedWork,
    /// Prefix blocks that each engine is expected to cache.
    pub hints: prefix_hints::PrefixHints,
    /// Whether lease recovery after a takeover is in progress, so that leases may be missing.
    pub recovering: bool,
}

impl CellState {
    /// Updates the engines of the cell from the state in force.
    pub fn set_engines(&mut self, names: &[ids::ServerName], state: &note::StateInForce) {
        for name in names {
            let Some(entry) = state.engines.get(name) else {
                continue;
            };
            match self
                .names
                .get(name)
                .and_then(|key| self.engines.get_mut(*key))
            {
                Some(engine) => engine.update_entry(entry),
                None => {
                    let engine = engine_state::EngineState::new(sync::Arc::clone(entry));
                    let key = self.engines.insert(engine);
                    self.names.insert(name.clone(), key);
                }
            }
        }
        for (key, engine) in &mut self.engines {
            if self.names.get(&engine.entry.name) == Some(&key)
                && !names.contains(&engine.entry.name)
            {
                engine.removed = true;
            }
        }
        self.remove_idle_engines(names);
    }

    /// Returns the engines of the cell.
    pub fn engines(&self) -> impl Iterator<Item = (keys::EngineKey, &engine_state::EngineState)> {
        self.engines.iter()
    }

    /// Returns the engines of the cell for modification.
    pub fn engines_mut(
        &mut self,
    ) -> impl Iterator<Item = (keys::EngineKey, &mut engine_state::EngineState)> {
        self.engines.iter_mut()
    }

    /// Returns the key of the engine with the given name.
    #[must_use]
    pub fn engine_key(&self, name: &ids::ServerName) -> Option<keys::EngineKey> {
        self.names.get(name).copied()
    }

    /// Returns the state of an engine.
    #[must_use]
    pub fn engine(&self, key: keys::EngineKey) -> Option<&engine_state::EngineState> {
        self.engines.get(key)
    }

    /// Returns the state of an engine for modification.
    pub fn engine_mut(&mut self, key: keys::EngineKey) -> Option<&mut engine_state::EngineState> {
        self.engines.get_mut(key)
    }

    /// Returns the leases that are in effect.
    pub fn leases(&self) -> impl Iterator<Item = (keys::LeaseKey, &held_lease::HeldLease)> {
        self.leases.iter()
    }

    /// Returns the lease with the given key.
    #[must_use]
    pub fn lease(&self, key: keys::LeaseKey) -> Option<&held_lease::HeldLease> {
        self.leases.get(key)
    }

    /// Returns a lease for modification of fields that do not affect the engines' counts.
    pub fn lease_mut(&mut self, key: keys::LeaseKey) -> Option<&mut held_lease::HeldLease> {
        self.leases.get_mut(key)
    }

    /// Returns the key of the lease with the given id.
    #[must_use]
    pub fn lease_of_id(&self, id: ids::LeaseId) -> Option<keys::LeaseKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns the key of the lease that covers `work`.
    #[must_use]
    pub fn lease_of_work(&self, work: work_key::WorkKey) -> Option<keys::LeaseKey> {
        self.by_work.get(&work).copied()
    }

    /// Adds a lease and counts it at its engines.
    ///
    /// Returns `None` if a lease with the same work or id exists already.
    pub fn insert(&mut self, lease: held_lease::HeldLease) -> Option<keys::LeaseKey> {
        if self.by_work.contains_key(&lease.work) || self.by_id.contains_key(&lease.id) {
            return None;
        }
        let (id, work) = (lease.id, lease.work);
        let (prefill, decode, pieces) = (lease.prefill, lease.decode, lease.kv_pieces);
        let is_prefilling = lease.is_prefilling();
        let (start_at, duration) = (lease.start_at, lease.prefill_duration);
        let key = self.leases.insert(lease);
        self.by_id.insert(id, key);
        self.by_work.insert(work, key);
        for engine in self.engines.values_mut() {
            engine.unleased.remove(&work);
        }
        if let Some(engine) = self.engines.get_mut(prefill)
            && is_prefilling
        {
            engine.prefills.push_back(engine_state::PlannedPrefill {
                lease: key,
                start_at,
                duration,
            });
        }
        self.hold_decode(key, decode, pieces);
        Some(key)
    }

    /// Removes a lease and its counts at both engines; returns `None` if it was removed before.
    pub fn remove(
        &mut self,
        now: clock::Timestamp,
        key: keys::LeaseKey,
    ) -> Option<held_lease::HeldLease> {
        let lease = self.leases.remove(key)?;
        self.by_id.remove(&lease.id);
        self.by_work.remove(&lease.work);
        self.ended.insert(now, lease.work, Some(lease.id));
        self.end_prefill(key, lease.prefill);
        self.free_decode(key, lease.decode, lease.kv_pieces);
        Some(lease)
    }

    /// Moves the decode side of a lease to another engine under a later attempt.
    pub fn move_decode(
        &mut self,
        now: clock::Timestamp,
        key: keys::LeaseKey,
        attempt: ids::AttemptNumber,
        decode: keys::EngineKey,
    ) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        self.by_work.remove(&lease.work);
        self.ended.insert(now, lease.work, None);
        lease.work.attempt = attempt;
        self.by_work.insert(lease.work, key);
        let pieces = lease.kv_pieces;
        let previous = std::mem::replace(&mut lease.decode, decode);
        self.free_decode(key, previous, pieces);
        self.hold_decode(key, decode, pieces);
    }

    /// Applies a progress update to a lease; the phase never moves backwards.
    pub fn advance(
        &mut self,
        now: clock::Timestamp,
        key: keys::LeaseKey,
        phase: lease_phase::LeasePhase,
        generated: u32,
    ) {
        let Some(lease) = self.leases.get_mut(key) else {
            return;
        };
        lease.confirmed_at = now;
        lease.progress_at = now;
        lease.generated = lease.generated.max(generated);
        let was_prefilling = lease.is_prefilling();
        let advanced = phase > lease.phase;
        lease.phase = lease.phase.max(phase);
        let (prefill, decode) = (lease.prefill, lease.decode);
        if was_prefilling && !lease.is_prefilling() {
            self.end_prefill(key, prefill);
        }
        if let Some(engine) = self.engines.get_mut(decode)
            && advanced
        {
            // Makes `refresh_rates` recompute the rate.
            engine.completion_rate.1 = clock::Timestamp::default();
        }
    }

    /// Returns the output length estimator of a class.
    #[must_use]
    pub fn output_estimator(
        &self,
        class: &ids::ClassName,
    ) -> Option<&output_estimator::OutputEstimator> {
        self.output_estimators.get(class)
    }

    /// Returns the output length estimator of a class for modification, creating it if needed.
    pub fn output_estimator_mut(
        &mut self,
        name: &ids::ClassName,
        class: &note::GenerationClass,
    ) -> &mut output_estimator::OutputEstimator {
        self.output_estimators
            .entry(name.clone())
            .or_insert_with(|| output_estimator::OutputEstimator::new(class))
    }

    /// Recomputes the stream completion rates that are older than `RATE_LIFETIME`.
    pub fn refresh_rates(&mut self, now: clock::Timestamp) {
        for engine in self.engines.values_mut() {
            let (_, computed_at) = engine.completion_rate;
            let is_invalidated = computed_at == clock::Timestamp::default();
            if !is_invalidated && computed_at + RATE_LIFETIME > now {
                continue;
            }
            let tokens_per_second = 1.0 / engine.token_time().as_secs_f64().max(1e-3);
            let completion_probability_sum: f64 = engine
                .decodes
                .iter()
                .filter_map(|key| self.leases.get(*key))
                .filter(|lease| lease.is_decoding())
                .filter_map(|lease| {
                    let estimator = self.output_estimators.get(&lease.class)?;
                    let since_progress = now.since(lease.progress_at).min(EXTRAPOLATION_LIMIT);
                    let extrapolated = since_progress.as_secs_f64() * tokens_per_second;
                    Some(
                        estimator.completion_probability(f64::from(lease.generated) + extrapolated),
                    )
                })
                .sum();
            engine.completion_rate = (completion_probability_sum * tokens_per_second, now);
        }
    }

    fn hold_decode(&mut self, key: keys::LeaseKey, decode: keys::EngineKey, pieces: u32) {
        if let Some(engine) = self.engines.get_mut(decode)
            && engine.decodes.insert(key)
        {
            engine.leased_pieces += pieces;
        }
    }

    fn free_decode(&mut self, key: keys::LeaseKey, decode: keys::EngineKey, pieces: u32) {
        if let Some(engine) = self.engines.get_mut(decode)
            && engine.decodes.remove(&key)
        {
            engine.leased_pieces -= pieces;
        }
    }

    fn end_prefill(&mut self, key: keys::LeaseKey, prefill: keys::EngineKey) {
        if let Some(engine) = self.engines.get_mut(prefill) {
            engine.prefills.retain(|planned| planned.lease != key);
        }
    }

    /// Removes engines that are no longer part of the cell and hold no lease.
    fn remove_idle_engines(&mut self, names: &[ids::ServerName]) {
        let idle: Vec<_> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.decodes.is_empty() && engine.prefills.is_empty())
            .filter(|(_, engine)| !names.contains(&engine.entry.name))
            .map(|(key, engine)| (key, engine.entry.name.clone()))
            .collect();
        for (key, name) in idle {
            self.engines.remove(key);
            self.names.remove(&name);
        }
    }
}
