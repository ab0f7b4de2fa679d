//! What the other instances report together: usage, waiting requests, servers and counts.

use std::{collections, net, sync, time};

use crate::{
    engine_usage, instance_registry, instance_update, service_estimate, wait_queue, workspace_key,
};

use super::{ALIVE_TIMEOUT, KNOWN_TIMEOUT, USAGE_TIMEOUT, WAITING_TIMEOUT};

impl instance_registry::InstanceRegistry {
    /// Returns the total usage by the other instances, keyed by [`crate::server_hash`].
    ///
    /// Streams are assumed to have generated `decode_rate` tokens per millisecond since the last
    /// update.
    #[must_use]
    pub fn usage(
        &self,
        now: clock::Timestamp,
        decode_rate: f64,
    ) -> collections::BTreeMap<u64, engine_usage::EngineUsage> {
        let mut total: collections::BTreeMap<u64, engine_usage::EngineUsage> =
            collections::BTreeMap::new();
        let fresh = self
            .states
            .values()
            .filter(|state| now.since(state.received_at) < USAGE_TIMEOUT);
        for state in fresh {
            let age_millis = now.since(state.received_at).as_secs_f64() * 1_000.0;
            let generated = (age_millis * decode_rate) as u32;
            for (server, usage) in &state.update.usage {
                let sum = total.entry(*server).or_default();
                sum.running += usage.running;
                sum.prefill_tokens += usage.prefill_tokens;
                let streams = usage.streams.iter();
                sum.streams
                    .extend(streams.map(|load| load.after(generated)));
            }
        }
        total
    }

    /// Returns the requests that wait at other instances.
    pub fn waiting(
        &self,
        now: clock::Timestamp,
    ) -> impl Iterator<Item = &sync::Arc<wait_queue::WaitingRequest>> {
        self.states
            .values()
            .filter(move |state| now.since(state.received_at) < WAITING_TIMEOUT)
            .flat_map(|state| &state.waiting)
    }

    /// Returns whether all other instances in touch order waiting requests by share. Two orders side by side
    /// would leave capacity unused.
    #[must_use]
    pub fn all_order_by_share(&self, now: clock::Timestamp) -> bool {
        self.updates_in_touch(now)
            .all(|update| update.orders_by_share)
    }

    /// Returns whether all other instances in touch tell of the prompts of their streams.
    #[must_use]
    pub fn all_tell_prompts(&self, now: clock::Timestamp) -> bool {
        self.updates_in_touch(now)
            .all(|update| update.tells_prompts && update.marks_after_start)
    }

    /// Returns the updates of the instances in touch.
    fn updates_in_touch(
        &self,
        now: clock::Timestamp,
    ) -> impl Iterator<Item = &instance_update::InstanceUpdate> {
        self.states
            .values()
            .filter(move |state| now.since(state.received_at) < ALIVE_TIMEOUT)
            .map(|state| &state.update)
    }

    /// Returns the usage of services, by their hash, by workspaces at the other instances. The counts of
    /// silent instances decay.
    pub(crate) fn shares(
        &self,
        now: clock::Timestamp,
    ) -> impl Iterator<Item = (u64, workspace_key::WorkspaceKey, f64)> {
        self.states.values().flat_map(move |state| {
            let counts = state.shares.iter();
            counts
                .map(move |((service, workspace), count)| (*service, *workspace, count.value(now)))
        })
    }

    /// Returns the engines that other instances report as paused, identified by
    /// [`crate::server_hash`].
    #[must_use]
    pub fn paused(&self, now: clock::Timestamp) -> collections::BTreeSet<u64> {
        self.states
            .values()
            .filter(|state| now.since(state.received_at) < ALIVE_TIMEOUT)
            .flat_map(|state| state.update.paused.iter().copied())
            .collect()
    }

    /// Returns the servers that other instances report as draining, by
    /// [`crate::incarnation_hash`].
    #[must_use]
    pub fn draining(&self, now: clock::Timestamp) -> collections::BTreeSet<u64> {
        self.states
            .values()
            .filter(|state| now.since(state.received_at) < ALIVE_TIMEOUT)
            .flat_map(|state| state.update.draining.iter().copied())
            .collect()
    }

    /// Returns the estimates of a service by the other instances.
    pub fn estimates(
        &self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
    ) -> impl Iterator<Item = &service_estimate::ServiceEstimate> {
        let hash = instance_update::service_hash(service);
        self.states
            .values()
            .filter(move |state| now.since(state.received_at) < KNOWN_TIMEOUT)
            .flat_map(|state| &state.update.estimates)
            .filter(move |(other, _)| *other == hash)
            .map(|(_, estimate)| estimate)
    }

    /// Returns the servers that other instances of at least two data centres report as unreachable,
    /// by [`crate::incarnation_hash`]; of at least two instances if the fleet has one data centre.
    ///
    /// A server that only one data centre can't reach may be cut off from that one alone.
    #[must_use]
    pub fn unreachable(&self, now: clock::Timestamp) -> collections::BTreeSet<u64> {
        let alive: Vec<&instance_update::InstanceUpdate> = self
            .states
            .values()
            .filter(|state| now.since(state.received_at) < ALIVE_TIMEOUT)
            .map(|state| &state.update)
            .collect();
        let first_centre = alive.first().map(|update| update.data_centre);
        let is_single = alive
            .iter()
            .all(|update| Some(update.data_centre) == first_centre);
        let mut reports: collections::BTreeMap<u64, collections::BTreeSet<u64>> =
            collections::BTreeMap::new();
        for update in alive {
            let reporter = if is_single {
                u64::from(update.address.to_bits())
            } else {
                u64::from(update.data_centre)
            };
            for server in &update.unreachable {
                reports.entry(*server).or_default().insert(reporter);
            }
        }
        reports
            .into_iter()
            .filter(|(_, reporters)| reporters.len() >= 2)
            .map(|(server, _)| server)
            .collect()
    }

    /// Returns the instances that may serve requests of a service for this one, with their data
    /// centres: those that are alive, have a view, aren't draining and reach the service's servers.
    pub fn reaching(
        &self,
        now: clock::Timestamp,
        service: u64,
    ) -> impl Iterator<Item = (net::Ipv4Addr, u32)> {
        self.states
            .iter()
            .filter(move |(_, state)| now.since(state.received_at) < ALIVE_TIMEOUT)
            .map(|(address, state)| (*address, &state.update))
            .filter(|(_, update)| !update.leaving && update.fingerprint != 0)
            .filter(move |(_, update)| !update.out_of_reach.contains(&service))
            .map(|(address, update)| (address, update.data_centre))
    }

    /// Returns the requests and retries of a service counted by the other instances.
    #[must_use]
    pub fn fleet_count(
        &self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        bound: &retry::RetryBound,
    ) -> retry::FleetCount {
        let hash = instance_update::service_hash(service);
        let mut count = retry::RetryCount::default();
        let mut coverage = 0.0;
        let recent = self
            .states
            .values()
            .filter(|state| now.since(state.received_at) < bound.window);
        for state in recent {
            coverage += state.update.count_window.as_secs_f64() / bound.window.as_secs_f64();
            let counts = state.update.retries.iter();
            for (_, other) in counts.filter(|(other, _)| *other == hash) {
                count.requests += other.requests;
                count.retries += other.retries;
            }
        }
        let known = self.states.len().max(self.targets(now).len());
        retry::FleetCount {
            count,
            live: u32::try_from(self.live_count(now)).unwrap_or(u32::MAX),
            known: u32::try_from(known + 1).unwrap_or(u32::MAX),
            coverage,
        }
    }

    /// Returns the largest fencing number used by another instance, or 0 without one.
    #[must_use]
    pub fn largest_fence(&self) -> u64 {
        self.states
            .values()
            .map(|state| state.update.last_fence)
            .max()
            .unwrap_or(0)
    }

    /// Returns the time since the last order of another instance to an engine.
    #[must_use]
    pub fn last_order_age(&self, now: clock::Timestamp) -> Option<time::Duration> {
        self.states
            .values()
            .filter(|state| state.update.last_fence > 0)
            .map(|state| state.update.last_order_age + now.since(state.received_at))
            .min()
    }

    /// Returns the alive instances from which the newest view can be copied: those with a view of the
    /// same content in `data_centre` if there are any, otherwise those elsewhere.
    ///
    /// A configuration that is newer than `config_version` goes before a newer list.
    #[must_use]
    pub fn newest_view_sources(
        &self,
        now: clock::Timestamp,
        config_version: u64,
        data_centre: u32,
    ) -> Vec<net::Ipv4Addr> {
        let sources: Vec<&instance_update::InstanceUpdate> = self
            .states
            .values()
            .filter(|state| now.since(state.received_at) < ALIVE_TIMEOUT)
            .map(|state| &state.update)
            .filter(|update| update.fingerprint != 0)
            .collect();
        let newest = sources
            .iter()
            .max_by_key(|update| (update.config_version.max(config_version), update.position))
            .map(|update| (update.fingerprint, update.position.era));
        let (near, far): (Vec<_>, Vec<_>) = sources
            .into_iter()
            .filter(|update| Some((update.fingerprint, update.position.era)) == newest)
            .partition(|update| update.data_centre == data_centre);
        let nearest = if near.is_empty() { far } else { near };
        nearest.into_iter().map(|update| update.address).collect()
    }
}
