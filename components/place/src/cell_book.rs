//! What an owner counts of one cell.

use std::{collections, sync, time};

use crate::{
    ended_works, engine_state, held_lease, keys, lease_phase, output_guess, prefix_hints, work_key,
};

/// Time for which the rate at which streams end is not computed anew.
const RATE_LIFE: time::Duration = time::Duration::from_millis(100);

/// Time without news beyond which a stream's progress is not extrapolated.
const PROGRESS_LIMIT: time::Duration = time::Duration::from_secs(30);

/// What an owner counts of one cell: each lease once, on both of its engines.
#[derive(Clone, Debug, Default)]
pub struct CellBook {
    engines: slotmap::SlotMap<keys::EngineKey, engine_state::EngineState>,
    names: collections::BTreeMap<ids::ServerName, keys::EngineKey>,
    leases: slotmap::SlotMap<keys::LeaseKey, held_lease::HeldLease>,
    by_id: collections::BTreeMap<ids::LeaseId, keys::LeaseKey>,
    by_work: collections::BTreeMap<work_key::WorkKey, keys::LeaseKey>,
    guesses: collections::BTreeMap<ids::ClassName, output_guess::OutputGuess>,
    /// Work that has ended lately.
    pub ended: ended_works::EndedWorks,
    /// Which engines are believed to cache which prefixes.
    pub hints: prefix_hints::PrefixHints,
    /// Whether the owner may not know every lease yet.
    pub cautious: bool,
}

impl CellBook {
    /// Takes the engines of the cell from the state in force.
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
                Some(cell_state) => cell_state.take_entry(entry),
                None => {
                    let cell_state = engine_state::EngineState::new(sync::Arc::clone(entry));
                    let key = self.engines.insert(cell_state);
                    self.names.insert(name.clone(), key);
                }
            }
        }
        for (key, cell_state) in &mut self.engines {
            if self.names.get(&cell_state.entry.name) == Some(&key)
                && !names.contains(&cell_state.entry.name)
            {
                cell_state.withdrawn = true;
            }
        }
        self.drop_withdrawn(names);
    }

    /// Returns the engines of the cell.
    pub fn engines(&self) -> impl Iterator<Item = (keys::EngineKey, &engine_state::EngineState)> {
        self.engines.iter()
    }

    /// Returns the engines of the cell, to change them.
    pub fn engines_mut(
        &mut self,
    ) -> impl Iterator<Item = (keys::EngineKey, &mut engine_state::EngineState)> {
        self.engines.iter_mut()
    }

    /// Returns the key of an engine.
    #[must_use]
    pub fn engine_key(&self, name: &ids::ServerName) -> Option<keys::EngineKey> {
        self.names.get(name).copied()
    }

    /// Returns an engine.
    #[must_use]
    pub fn engine(&self, key: keys::EngineKey) -> Option<&engine_state::EngineState> {
        self.engines.get(key)
    }

    /// Returns an engine, to change it.
    pub fn engine_mut(&mut self, key: keys::EngineKey) -> Option<&mut engine_state::EngineState> {
        self.engines.get_mut(key)
    }

    /// Returns the leases.
    pub fn leases(&self) -> impl Iterator<Item = (keys::LeaseKey, &held_lease::HeldLease)> {
        self.leases.iter()
    }

    /// Returns a lease.
    #[must_use]
    pub fn lease(&self, key: keys::LeaseKey) -> Option<&held_lease::HeldLease> {
        self.leases.get(key)
    }

    /// Returns a lease, to change what doesn't move between engines.
    pub fn lease_mut(&mut self, key: keys::LeaseKey) -> Option<&mut held_lease::HeldLease> {
        self.leases.get_mut(key)
    }

    /// Returns the key of a lease by its id.
    #[must_use]
    pub fn lease_of_id(&self, id: ids::LeaseId) -> Option<keys::LeaseKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns the key of the lease that serves a work.
    #[must_use]
    pub fn lease_of_work(&self, work: work_key::WorkKey) -> Option<keys::LeaseKey> {
        self.by_work.get(&work).copied()
    }

    /// Counts a lease; returns `None` if its work or its id is counted already.
    pub fn insert(&mut self, lease: held_lease::HeldLease) -> Option<keys::LeaseKey> {
        if self.by_work.contains_key(&lease.work) || self.by_id.contains_key(&lease.id) {
            return None;
        }
        let (id, work) = (lease.id, lease.work);
        let (prefill, decode, pieces) = (lease.prefill, lease.decode, lease.kv_pieces);
        let planned = lease.is_reading();
        let (start_at, span) = (lease.start_at, lease.prefill_span);
        let key = self.leases.insert(lease);
        self.by_id.insert(id, key);
        self.by_work.insert(work, key);
        for cell_state in self.engines.values_mut() {
            cell_state.foreign.remove(&work);
        }
        if let Some(cell_state) = self.engines.get_mut(prefill)
            && planned
        {
            cell_state.prefills.push_back(engine_state::PlannedPrefill {
                lease: key,
                start_at,
                span,
            });
        }
        self.hold_decode(key, decode, pieces);
        Some(key)
    }

    /// Frees a lease on both engines; a second call finds nothing to free.
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

    /// Moves the decode side of a lease to another engine, under a later attempt.
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
        let earlier = std::mem::replace(&mut lease.decode, decode);
        self.free_decode(key, earlier, pieces);
        self.hold_decode(key, decode, pieces);
    }

    /// Takes news of a lease, which never goes back to an earlier phase.
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
        lease.heard_at = now;
        lease.told_at = now;
        lease.generated = lease.generated.max(generated);
        let was_reading = lease.is_reading();
        let went_on = phase > lease.phase;
        lease.phase = lease.phase.max(phase);
        let (prefill, decode) = (lease.prefill, lease.decode);
        if was_reading && !lease.is_reading() {
            self.end_prefill(key, prefill);
        }
        if let Some(cell_state) = self.engines.get_mut(decode)
            && went_on
        {
            cell_state.free_rate.1 = clock::Timestamp::default();
        }
    }

    /// Returns what is known of the answers of a class.
    #[must_use]
    pub fn guess(&self, class: &ids::ClassName) -> Option<&output_guess::OutputGuess> {
        self.guesses.get(class)
    }

    /// Returns what is known of the answers of a class, to learn from an answer.
    pub fn guess_mut(
        &mut self,
        name: &ids::ClassName,
        class: &note::GenerationClass,
    ) -> &mut output_guess::OutputGuess {
        self.guesses
            .entry(name.clone())
            .or_insert_with(|| output_guess::OutputGuess::new(class))
    }

    /// Computes anew, where it is old, how fast the streams of each engine end.
    pub fn refresh_rates(&mut self, now: clock::Timestamp) {
        for cell_state in self.engines.values_mut() {
            let (_, computed_at) = cell_state.free_rate;
            let is_new = computed_at == clock::Timestamp::default();
            if !is_new && computed_at + RATE_LIFE > now {
                continue;
            }
            let tokens_per_second = 1.0 / cell_state.token_time().as_secs_f64().max(1e-3);
            let chances: f64 = cell_state
                .decodes
                .iter()
                .filter_map(|key| self.leases.get(*key))
                .filter(|lease| lease.is_decoding())
                .filter_map(|lease| {
                    let guess = self.guesses.get(&lease.class)?;
                    let quiet = now.since(lease.told_at).min(PROGRESS_LIMIT);
                    let unheard = quiet.as_secs_f64() * tokens_per_second;
                    Some(guess.ending_chance(f64::from(lease.generated) + unheard))
                })
                .sum();
            cell_state.free_rate = (chances * tokens_per_second, now);
        }
    }

    fn hold_decode(&mut self, key: keys::LeaseKey, decode: keys::EngineKey, pieces: u32) {
        if let Some(cell_state) = self.engines.get_mut(decode)
            && cell_state.decodes.insert(key)
        {
            cell_state.leased_pieces += pieces;
        }
    }

    fn free_decode(&mut self, key: keys::LeaseKey, decode: keys::EngineKey, pieces: u32) {
        if let Some(cell_state) = self.engines.get_mut(decode)
            && cell_state.decodes.remove(&key)
        {
            cell_state.leased_pieces -= pieces;
        }
    }

    fn end_prefill(&mut self, key: keys::LeaseKey, prefill: keys::EngineKey) {
        if let Some(cell_state) = self.engines.get_mut(prefill) {
            cell_state.prefills.retain(|planned| planned.lease != key);
        }
    }

    /// Forgets the engines that no note names any more and that hold no lease.
    fn drop_withdrawn(&mut self, names: &[ids::ServerName]) {
        let idle: Vec<_> = self
            .engines
            .iter()
            .filter(|(_, cell_state)| {
                cell_state.decodes.is_empty() && cell_state.prefills.is_empty()
            })
            .filter(|(_, cell_state)| !names.contains(&cell_state.entry.name))
            .map(|(key, cell_state)| (key, cell_state.entry.name.clone()))
            .collect();
        for (key, name) in idle {
            self.engines.remove(key);
            self.names.remove(&name);
        }
    }
}
