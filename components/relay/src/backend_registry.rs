//! Registry of the backend servers.

use std::{collections, time};

use crate::{
    backend, backend_entry, capacity_sample, capacity_update, engine_usage, instance_update,
    prefill_model, robust_mean, server_capacity, site_view,
};

/// Backend servers by key.
pub type BackendTable = slotmap::SlotMap<backend::BackendKey, backend::Backend>;

/// Time for which the drain of a server that is no longer listed is remembered. Its entry may be
/// listed again after an outage of the platform's store.
const DRAIN_MEMORY: time::Duration = time::Duration::from_secs(60);

/// Time for which an answer of a server goes before reports of others that it can't be reached.
const ANSWER_EVIDENCE: time::Duration = time::Duration::from_secs(1);

/// Registry of the backend servers that are listed or still in use by this instance.
#[derive(Debug, Default)]
pub struct BackendRegistry {
    backends: BackendTable,
    by_name: collections::BTreeMap<ids::ServerName, backend::BackendKey>,
    /// Servers that have reported in an answer that they are draining, by
    /// [`crate::incarnation_hash`], with the time at which they were last listed.
    draining: collections::BTreeMap<u64, clock::Timestamp>,
}

impl BackendRegistry {
    /// Returns the backend servers.
    #[must_use]
    pub const fn table(&self) -> &BackendTable {
        &self.backends
    }

    /// Returns a backend server by key.
    #[must_use]
    pub fn get(&self, key: backend::BackendKey) -> Option<&backend::Backend> {
        self.backends.get(key)
    }

    /// Returns a mutable backend server by key.
    pub fn get_mut(&mut self, key: backend::BackendKey) -> Option<&mut backend::Backend> {
        self.backends.get_mut(key)
    }

    /// Applies the list of a view and removes servers that are neither listed nor used.
    ///
    /// An entry with another start time or software version is of a restarted server, which gets a
    /// new key and state.
    pub fn apply_view(&mut self, now: clock::Timestamp, view: &site_view::BackendMap) {
        for (server, entry) in view {
            let backend = self
                .by_name
                .get(server)
                .and_then(|key| self.backends.get_mut(*key))
                .filter(|backend| backend.entry.is_same_incarnation(entry));
            match backend {
                Some(backend) => backend.update_entry(entry),
                None => self.add(entry),
            }
        }
        let by_name = &self.by_name;
        for (key, backend) in &mut self.backends {
            let server = &backend.entry.server;
            let current = by_name.get(server) == Some(&key);
            backend.listed = current && view.contains_key(server);
        }
        self.refresh_draining(now);
        self.remove_unlisted();
    }

    /// Records that a server has reported in an answer that it is draining; returns whether that
    /// was unknown.
    pub fn mark_draining(&mut self, now: clock::Timestamp, key: backend::BackendKey) -> bool {
        let Some(backend) = self.backends.get_mut(key) else {
            return false;
        };
        backend.draining = true;
        let hash = instance_update::incarnation_hash(&backend.entry);
        self.draining.insert(hash, now).is_none()
    }

    /// Records the draining servers that other instances report, by [`crate::incarnation_hash`].
    pub fn add_peer_draining(
        &mut self,
        now: clock::Timestamp,
        reported: &collections::BTreeSet<u64>,
    ) {
        if reported.iter().all(|hash| self.draining.contains_key(hash)) {
            return;
        }
        for hash in reported {
            self.draining.entry(*hash).or_insert(now);
        }
        self.refresh_draining(now);
    }

    /// Returns the draining servers that the platform's list doesn't show as draining, by
    /// [`crate::incarnation_hash`], for the state updates of this instance.
    #[must_use]
    pub fn reported_draining(&self) -> Vec<u64> {
        if self.draining.is_empty() {
            return Vec::new();
        }
        self.backends
            .values()
            .filter(|backend| backend.draining && backend.listed && !backend.entry.leaving)
            .map(|backend| instance_update::incarnation_hash(&backend.entry))
            .collect()
    }

    /// Sets the usage by the other instances, keyed by [`crate::server_hash`].
    pub fn set_peer_usage(
        &mut self,
        usage: &collections::BTreeMap<u64, engine_usage::EngineUsage>,
    ) {
        for (_, backend) in &mut self.backends {
            let hash = instance_update::server_hash(&backend.entry.server);
            backend.peer_usage = usage.get(&hash).cloned().unwrap_or_default();
        }
    }

    /// Sets the model of the prefill duration of a service's engines.
    pub fn set_prefill_model(
        &mut self,
        service: &ids::ServiceName,
        model: prefill_model::PrefillModel,
    ) {
        for (_, backend) in &mut self.backends {
            if backend.entry.service == *service {
                backend.set_prefill_model(model);
            }
        }
    }

    /// Adds an observation of another instance.
    pub(crate) fn observe_capacity(
        &mut self,
        now: clock::Timestamp,
        sample: &capacity_sample::CapacitySample,
    ) {
        let mut backends = self.backends.values_mut();
        if let Some(backend) = backends.find(|backend| backend.incarnation == sample.server) {
            backend.observe_capacity(now, sample);
        }
    }

    /// Recomputes the rates and limits of the servers of a service, of one stage if they are engines.
    ///
    /// The times of prefills are relative to the model of the service already; those of others are
    /// compared with the median of the servers.
    pub(crate) fn refresh_capacity(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        stage: Option<backend_entry::EngineStage>,
    ) {
        let mut times = Vec::new();
        for backend in self.of_stage(service, stage) {
            if stage.is_none() {
                backend.capacity.update_limit(now, backend.entry.slots);
            }
            times.extend(backend.capacity.update_time(now));
        }
        let typical = match stage {
            Some(backend_entry::EngineStage::Prefill) => server_capacity::TYPICAL_PREFILL,
            _ => robust_mean::RobustMean::of(&mut times).value,
        };
        let equal_ratio = server_capacity::equal_ratio(stage);
        for backend in self.of_stage(service, stage) {
            backend.capacity.update_slowness(now, typical, equal_ratio);
        }
    }

    /// Returns the servers whose rate or limit has changed much since the last call.
    pub(crate) fn capacity_updates(&mut self) -> Vec<capacity_update::CapacityUpdate> {
        self.backends
            .values_mut()
            .filter_map(backend::Backend::capacity_update)
            .collect()
    }

    fn of_stage(
        &mut self,
        service: &ids::ServiceName,
        stage: Option<backend_entry::EngineStage>,
    ) -> impl Iterator<Item = &mut backend::Backend> {
        self.backends.values_mut().filter(move |backend| {
            backend.entry.service == *service && backend.entry.stage == stage
        })
    }

    /// Clears the expected placements of requests that wait at other instances.
    pub fn clear_expected(&mut self) {
        for (_, backend) in &mut self.backends {
            backend.expected.clear();
            backend.expected_prefill_tokens = 0;
        }
    }

    /// Sets the engines that other instances report as paused, identified by
    /// [`crate::server_hash`].
    pub fn set_peer_paused(&mut self, paused: &collections::BTreeSet<u64>) {
        for (_, backend) in &mut self.backends {
            let hash = instance_update::server_hash(&backend.entry.server);
            backend.paused_by_peer = paused.contains(&hash);
        }
    }

    /// Returns the hashes of the engines that this instance has paused for all instances, for its
    /// state updates.
    #[must_use]
    pub fn own_paused(&self, now: clock::Timestamp) -> Vec<u64> {
        self.backends
            .values()
            .filter(|backend| backend.is_paused_for_all(now))
            .map(|backend| instance_update::server_hash(&backend.entry.server))
            .collect()
    }

    /// Returns the servers that this instance can't reach, by [`crate::incarnation_hash`], for its
    /// state updates. Those of services in `out_of_reach` are left out, since the cause is more likely
    /// this instance's path.
    #[must_use]
    pub fn own_unreachable(
        &self,
        now: clock::Timestamp,
        out_of_reach: &[ids::ServiceName],
    ) -> Vec<u64> {
        self.backends
            .values()
            .filter(|backend| backend.listed && backend.is_unreachable(now))
            .filter(|backend| !out_of_reach.contains(&backend.entry.service))
            .map(|backend| instance_update::incarnation_hash(&backend.entry))
            .collect()
    }

    /// Sets the servers that several data centres report as unreachable, by
    /// [`crate::incarnation_hash`]. One that has just answered this instance isn't.
    pub fn set_peer_unreachable(
        &mut self,
        now: clock::Timestamp,
        unreachable: &collections::BTreeSet<u64>,
    ) {
        for (_, backend) in &mut self.backends {
            let has_answered = backend.reach.has_answered_within(now, ANSWER_EVIDENCE);
            backend.unreachable_by_peers =
                unreachable.contains(&backend.incarnation) && !has_answered;
        }
    }

    /// Returns the usage by this instance, for its state updates.
    #[must_use]
    pub fn own_usage(&self) -> Vec<(u64, engine_usage::EngineUsage)> {
        self.backends
            .values()
            .filter(|backend| !backend.is_idle())
            .map(|backend| {
                let hash = instance_update::server_hash(&backend.entry.server);
                (hash, backend.own_usage())
            })
            .collect()
    }

    /// Removes servers that are neither listed nor used.
    pub fn remove_unlisted(&mut self) {
        self.backends
            .retain(|_, backend| backend.listed || !backend.is_idle());
        let backends = &self.backends;
        self.by_name.retain(|_, key| backends.contains_key(*key));
    }

    /// Marks the servers that are known to be draining, and forgets those that have been unlisted
    /// for long.
    fn refresh_draining(&mut self, now: clock::Timestamp) {
        if self.draining.is_empty() {
            return;
        }
        for (_, backend) in &mut self.backends {
            let hash = instance_update::incarnation_hash(&backend.entry);
            if let Some(listed_at) = self.draining.get_mut(&hash) {
                backend.draining = true;
                *listed_at = now;
            }
        }
        self.draining
            .retain(|_, listed_at| now.since(*listed_at) < DRAIN_MEMORY);
    }

    fn add(&mut self, entry: &crate::BackendEntry) {
        let key = self.backends.insert(backend::Backend::new(entry.clone()));
        self.by_name.insert(entry.server.clone(), key);
    }
}
