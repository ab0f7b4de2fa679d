//! Registry of the other instances, built from their state updates.

mod fleet_members;
mod fleet_reports;

use std::{collections, net, time};

use crate::{fleet_contact, instance_state, instance_update, known_instance};

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
            state.keep_omitted(before);
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

    /// Returns the instances that are alive and not draining, without this one.
    pub fn alive(&self, now: clock::Timestamp) -> impl Iterator<Item = net::Ipv4Addr> {
        self.states
            .iter()
            .filter(move |(_, state)| {
                !state.update.leaving && now.since(state.received_at) < ALIVE_TIMEOUT
            })
            .map(|(address, _)| *address)
    }

    /// Returns whether another instance has sent a state update.
    #[must_use]
    pub fn has_contact(&self) -> bool {
        !self.states.is_empty()
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

    /// Returns the rank of this instance by address among those that are alive and whose processes it has
    /// known for `time`.
    pub(crate) fn rank_among_known_for(
        &self,
        now: clock::Timestamp,
        time: time::Duration,
    ) -> usize {
        let before = self.states.iter().filter(|(address, state)| {
            **address < self.own
                && !state.update.leaving
                && now.since(state.received_at) < ALIVE_TIMEOUT
                && now.since(state.known_since) >= time
        });
        before.count()
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

    /// Returns which of the known instances have sent an update within `timeout`. With
    /// `expects_seeds`, seeds that have not been heard of count as known.
    #[must_use]
    pub fn contact(
        &self,
        now: clock::Timestamp,
        timeout: time::Duration,
        expects_seeds: bool,
    ) -> fleet_contact::FleetContact {
        let mut contact = fleet_contact::FleetContact::default();
        let known = self.states.values().filter(|state| !state.update.leaving);
        for state in known {
            contact.record(now.since(state.received_at), timeout);
        }
        if expects_seeds {
            let unheard = self.seeds().filter(|seed| !self.states.contains_key(seed));
            contact.add_silent(unheard.count());
        }
        contact
    }

    /// Returns the time since the last update of an instance; `None` for an unknown one.
    #[must_use]
    pub fn silence(&self, now: clock::Timestamp, address: net::Ipv4Addr) -> Option<time::Duration> {
        let state = self.states.get(&address)?;
        Some(now.since(state.received_at))
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
}
