//! Registry of the other instances, built from their state updates.

use std::{collections, net, sync, time};

use crate::{
    engine_usage, instance_state, instance_update, known_instance, service_estimate, wait_queue,
};

/// Time without state updates after which an instance's usage no longer counts, since its
/// connections are closed by then.
const USAGE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Time without state updates after which an instance no longer counts as alive.
const ALIVE_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// Time without state updates after which the requests that wait at an instance lose their position
/// in the queue order. Until then capacity is kept free for them, although their instance may no
/// longer place them.
const WAITING_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Time without state updates after which an update with a smaller incarnation is accepted as that
/// of a restarted process. An update with a larger incarnation is accepted at once.
const RESTART_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Time without state updates after which an instance is removed from the registry.
const KNOWN_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Time without state updates after which an instance is no longer sent any.
const TARGET_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Time for which an instance that another one has reported counts as alive without a state update
/// of its own.
const REPORTED_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Interval of greetings to an instance that discovers the fleet.
const GREETING_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Interval at which updates without changes are forwarded.
const HEARTBEAT_FORWARD_INTERVAL: time::Duration = time::Duration::from_millis(350);

/// Instance that another one has reported.
#[derive(Clone, Copy, Debug)]
struct ReportedInstance {
    instance: known_instance::KnownInstance,
    reported_at: clock::Timestamp,
}

/// Registry of the other instances, built from their state updates.
#[derive(Debug)]
pub struct InstanceRegistry {
    own: net::Ipv4Addr,
    seeds: Vec<net::Ipv4Addr>,
    states: collections::BTreeMap<net::Ipv4Addr, instance_state::InstanceState>,
    /// Instances that others have reported.
    reported: collections::BTreeMap<net::Ipv4Addr, ReportedInstance>,
    /// Instances that discover the fleet, with the time of their next greeting.
    newcomers: collections::BTreeMap<net::Ipv4Addr, clock::Timestamp>,
    /// Instances that wait for a greeting.
    ungreeted: collections::BTreeSet<net::Ipv4Addr>,
    services: instance_state::ServiceNames,
}

impl InstanceRegistry {
    /// Creates a registry that contains only the seeds.
    #[must_use]
    pub fn new(own: net::Ipv4Addr, seeds: Vec<net::Ipv4Addr>) -> Self {
        Self {
            own,
            seeds,
            states: collections::BTreeMap::new(),
            reported: collections::BTreeMap::new(),
            newcomers: collections::BTreeMap::new(),
            ungreeted: collections::BTreeSet::new(),
            services: instance_state::ServiceNames::new(),
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<net::Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Replaces the services whose waiting requests are accepted from state updates.
    pub fn set_services(&mut self, services: impl Iterator<Item = ids::ServiceName>) {
        self.services = services
            .map(|service| (instance_update::service_hash(&service), service))
            .collect();
    }

    /// Applies a state update; returns whether it is newer than the last one of its instance.
    ///
    /// `decode_rate` is the assumed rate of a stream in tokens per millisecond.
    pub fn apply_update(
        &mut self,
        now: clock::Timestamp,
        update: instance_update::InstanceUpdate,
        decode_rate: f64,
    ) -> bool {
        if update.address == self.own {
            return false;
        }
        self.record_reported(now, &update.known);
        if update.partial {
            return self.apply_partial_update(now, update, decode_rate);
        }
        let known = self.states.get(&update.address);
        let newer = known.is_none_or(|known| {
            // A process that restarts after its clock was set back has a smaller incarnation.
            let restarted = update.incarnation != known.update.incarnation
                && now.since(known.received_at) > RESTART_TIMEOUT;
            restarted
                || (update.incarnation, update.sequence)
                    > (known.update.incarnation, known.update.sequence)
        });
        if !newer {
            return false;
        }
        let mut state = instance_state::InstanceState::new(now, update, &self.services);
        if let Some(before) = self.states.remove(&state.update.address) {
            state.keep_estimates(before);
        }
        self.states.insert(state.update.address, state);
        true
    }

    /// Removes the instances that have been silent for long.
    pub fn remove_silent(&mut self, now: clock::Timestamp) {
        self.states
            .retain(|_, state| now.since(state.received_at) < KNOWN_TIMEOUT);
        self.reported
            .retain(|_, reported| now.since(reported.reported_at) < TARGET_TIMEOUT);
    }

    fn record_reported(&mut self, now: clock::Timestamp, known: &[known_instance::KnownInstance]) {
        for instance in known.iter().filter(|known| known.address != self.own) {
            let reported = ReportedInstance {
                instance: *instance,
                reported_at: now,
            };
            self.reported.insert(instance.address, reported);
        }
    }

    /// Applies a partial update; one of an unknown process is ignored until its first full update.
    fn apply_partial_update(
        &mut self,
        now: clock::Timestamp,
        update: instance_update::InstanceUpdate,
        decode_rate: f64,
    ) -> bool {
        let known = self.states.get_mut(&update.address).filter(|known| {
            known.update.incarnation == update.incarnation
                && known.update.sequence < update.sequence
        });
        let is_known = known.is_some();
        if let Some(known) = known {
            known.apply_changes(now, update, decode_rate, &self.services);
        }
        is_known
    }

    /// Returns the addresses to which state updates are sent.
    #[must_use]
    pub fn targets(&self, now: clock::Timestamp) -> collections::BTreeSet<net::Ipv4Addr> {
        let direct = self
            .states
            .iter()
            .filter(|(_, state)| now.since(state.received_at) < TARGET_TIMEOUT)
            .map(|(address, _)| *address);
        let reported = self
            .reported
            .iter()
            .filter(|(_, reported)| now.since(reported.reported_at) < TARGET_TIMEOUT)
            .map(|(address, _)| *address);
        let mut targets: collections::BTreeSet<net::Ipv4Addr> = direct
            .chain(reported)
            .chain(self.seeds.iter().copied())
            .collect();
        targets.remove(&self.own);
        targets
    }

    /// Returns the addresses of the seeds, without this instance.
    pub fn seeds(&self) -> impl Iterator<Item = net::Ipv4Addr> {
        let own = self.own;
        self.seeds.iter().copied().filter(move |seed| *seed != own)
    }

    fn is_alive(&self, now: clock::Timestamp, address: net::Ipv4Addr) -> bool {
        self.states
            .get(&address)
            .is_some_and(|state| now.since(state.received_at) < ALIVE_TIMEOUT)
    }

    /// Returns the instances that are alive, also draining ones, and those that have been reported
    /// without being heard of since.
    pub fn known(
        &self,
        now: clock::Timestamp,
    ) -> impl Iterator<Item = known_instance::KnownInstance> {
        let alive = self
            .states
            .values()
            .filter(move |state| now.since(state.received_at) < ALIVE_TIMEOUT)
            .map(instance_state::InstanceState::known_instance);
        let reported = self
            .reported
            .values()
            .filter(move |reported| now.since(reported.reported_at) < REPORTED_TIMEOUT)
            .map(|reported| reported.instance)
            .filter(move |instance| !self.is_alive(now, instance.address));
        alive.chain(reported)
    }

    /// Returns the data centre of an instance, by [`crate::data_centre_hash`]; `None` if the
    /// instance is unknown.
    #[must_use]
    pub fn data_centre(&self, address: net::Ipv4Addr) -> Option<u32> {
        self.states
            .get(&address)
            .map(|state| state.update.data_centre)
    }

    /// Returns the incarnation and the sequence number of the last update of an instance.
    #[must_use]
    pub fn last_sequence(&self, address: net::Ipv4Addr) -> Option<(u64, u64)> {
        self.states
            .get(&address)
            .map(|state| (state.update.incarnation, state.update.sequence))
    }

    /// Returns whether an update that is to be applied changes what is known of its instance, or
    /// the instance's last forwarded update is so old that the others would miss it.
    #[must_use]
    pub fn is_worth_forwarding(
        &self,
        now: clock::Timestamp,
        update: &instance_update::InstanceUpdate,
    ) -> bool {
        self.states.get(&update.address).is_none_or(|state| {
            !update.is_heartbeat()
                || !state.waiting.is_empty()
                || now.since(state.forwarded_at) >= HEARTBEAT_FORWARD_INTERVAL
        })
    }

    /// Records that an update of an instance is forwarded.
    pub fn record_forwarded(&mut self, now: clock::Timestamp, address: net::Ipv4Addr) {
        if let Some(state) = self.states.get_mut(&address) {
            state.forwarded_at = now;
        }
    }

    /// Records that an instance discovers the fleet.
    pub fn record_newcomer(&mut self, now: clock::Timestamp, address: net::Ipv4Addr) {
        let next_greeting = self.newcomers.get(&address).copied();
        if next_greeting.is_none_or(|at| now >= at) {
            self.newcomers
                .retain(|_, at| now.since(*at) < GREETING_INTERVAL);
            self.newcomers.insert(address, now + GREETING_INTERVAL);
            self.ungreeted.insert(address);
        }
    }

    /// Returns whether instances wait for a greeting.
    #[must_use]
    pub fn has_newcomers(&self) -> bool {
        !self.ungreeted.is_empty()
    }

    /// Returns and removes the instances to greet now.
    pub fn take_newcomers(&mut self) -> collections::BTreeSet<net::Ipv4Addr> {
        std::mem::take(&mut self.ungreeted)
    }

    /// Returns the instances that are alive and not draining, without this one.
    pub fn alive(&self, now: clock::Timestamp) -> impl Iterator<Item = net::Ipv4Addr> {
        self.states
            .iter()
            .filter(move |(_, state)| {
                !state.update.leaving && now.since(state.received_at) < ALIVE_TIMEOUT
            })
            .map(|(address, _)| *address)
    }

    /// Returns the instances that are alive and not draining, without this one, with their data
    /// centres.
    pub fn alive_known(
        &self,
        now: clock::Timestamp,
    ) -> impl Iterator<Item = known_instance::KnownInstance> {
        self.states
            .values()
            .filter(move |state| {
                !state.update.leaving && now.since(state.received_at) < ALIVE_TIMEOUT
            })
            .map(instance_state::InstanceState::known_instance)
    }

    /// Returns the number of instances that share the load, including this one.
    #[must_use]
    pub fn live_count(&self, now: clock::Timestamp) -> usize {
        self.alive(now).count() + 1
    }

    /// Returns the rank of this instance by address among those that are alive. The instance of
    /// rank 0 reads the platform's store for all.
    #[must_use]
    pub fn rank(&self, now: clock::Timestamp) -> usize {
        self.alive(now)
            .filter(|address| *address < self.own)
            .count()
    }

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

    /// Returns the numbers of alive and of known instances that aren't draining, both including
    /// this one.
    #[must_use]
    pub fn alive_and_known(&self, now: clock::Timestamp) -> (u32, u32) {
        let known = self
            .states
            .values()
            .filter(|state| !state.update.leaving)
            .count();
        let count_with_own = |count: usize| u32::try_from(count + 1).unwrap_or(u32::MAX);
        (
            count_with_own(self.alive(now).count()),
            count_with_own(known),
        )
    }

    /// Returns the shortest time without updates among instances that are not alive and were not
    /// draining.
    #[must_use]
    pub fn silent_for(&self, now: clock::Timestamp) -> Option<time::Duration> {
        self.states
            .values()
            .filter(|state| !state.update.leaving)
            .map(|state| now.since(state.received_at))
            .filter(|silence| *silence >= ALIVE_TIMEOUT)
            .min()
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

    /// Returns the largest fencing number used by another instance, or 0 without one.
    #[must_use]
    pub fn largest_fence(&self) -> u64 {
        self.states
            .values()
            .map(|state| state.update.last_fence)
            .max()
            .unwrap_or(0)
    }

    /// Returns the alive instances with the newest view, from which the view can be copied: those of
    /// `data_centre` if it has any, otherwise those elsewhere.
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
        let age = |update: &instance_update::InstanceUpdate| {
            (update.config_version.max(config_version), update.position)
        };
        let newest = sources.iter().map(|update| age(update)).max();
        let (near, far): (Vec<_>, Vec<_>) = sources
            .into_iter()
            .filter(|update| Some(age(update)) == newest)
            .partition(|update| update.data_centre == data_centre);
        let nearest = if near.is_empty() { far } else { near };
        nearest.into_iter().map(|update| update.address).collect()
    }
}
