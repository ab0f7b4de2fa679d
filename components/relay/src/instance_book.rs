//! The other instances, as far as their news tell.

use std::{collections, net, sync, time};

use crate::{engine_usage, instance_news, instance_state, wait_line};

/// Silence after which an instance's usage no longer counts: its connections are gone.
const USAGE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Silence after which an instance no longer counts as alive.
const ALIVE_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);

/// Silence after which the requests that wait at an instance no longer go before others: a place
/// that is kept for one that won't take it is lost to all.
const WAITING_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Silence after which news of another incarnation are taken for those of a restarted process.
const RESTART_SILENCE: time::Duration = time::Duration::from_millis(600);

/// Silence after which an instance no longer counts as known.
const KNOWN_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Silence after which an instance is no longer sent news.
const FORGET_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// The other instances, as far as their news tell.
#[derive(Debug)]
pub struct InstanceBook {
    own: net::Ipv4Addr,
    seeds: Vec<net::Ipv4Addr>,
    states: collections::BTreeMap<net::Ipv4Addr, instance_state::InstanceState>,
    /// Addresses that others have named and that weren't heard yet, with the time they were named.
    named: collections::BTreeMap<net::Ipv4Addr, clock::Timestamp>,
    services: instance_state::ServiceNames,
}

impl InstanceBook {
    /// Makes a book that knows the seeds alone.
    #[must_use]
    pub fn new(own: net::Ipv4Addr, seeds: Vec<net::Ipv4Addr>) -> Self {
        Self {
            own,
            seeds,
            states: collections::BTreeMap::new(),
            named: collections::BTreeMap::new(),
            services: instance_state::ServiceNames::new(),
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<net::Ipv4Addr>) {
        self.seeds = seeds;
    }

    /// Replaces the services for whose requests instances may tell that they wait.
    pub fn set_services(&mut self, services: impl Iterator<Item = ids::ServiceName>) {
        self.services = services
            .map(|service| (instance_news::service_hash(&service), service))
            .collect();
    }

    /// Takes in news, where streams generate `pace` tokens a millisecond; returns whether they are
    /// newer than what was known.
    pub fn apply_update(
        &mut self,
        now: clock::Timestamp,
        news: instance_news::InstanceUpdate,
        pace: f64,
    ) -> bool {
        if news.address == self.own {
            return false;
        }
        if news.partial {
            return self.heard_changes(now, news, pace);
        }
        let known = self.states.get(&news.address);
        let newer = known.is_none_or(|known| {
            // A process that restarts after its clock was set back has a smaller incarnation.
            let restarted = news.incarnation != known.news.incarnation
                && now.since(known.heard_at) > RESTART_SILENCE;
            restarted
                || (news.incarnation, news.sequence) > (known.news.incarnation, known.news.sequence)
        });
        if !newer {
            return false;
        }
        for address in &news.known {
            if *address != self.own {
                self.named.insert(*address, now);
            }
        }
        self.states
            .retain(|_, state| now.since(state.heard_at) < KNOWN_TIMEOUT);
        let state = instance_state::InstanceState::new(now, news, &self.services);
        self.states.insert(state.news.address, state);
        true
    }

    /// Takes in partial news; those of a process that isn't known mean nothing yet.
    fn heard_changes(
        &mut self,
        now: clock::Timestamp,
        news: instance_news::InstanceUpdate,
        pace: f64,
    ) -> bool {
        let known = self.states.get_mut(&news.address).filter(|known| {
            known.news.incarnation == news.incarnation && known.news.sequence < news.sequence
        });
        let is_known = known.is_some();
        if let Some(known) = known {
            known.take_changes(now, news, pace, &self.services);
        }
        is_known
    }

    /// Returns where news are sent to.
    #[must_use]
    pub fn targets(&self, now: clock::Timestamp) -> collections::BTreeSet<net::Ipv4Addr> {
        let apply_update = self
            .states
            .iter()
            .filter(|(_, state)| now.since(state.heard_at) < FORGET_TIMEOUT)
            .map(|(address, _)| *address);
        let named = self
            .named
            .iter()
            .filter(|(_, at)| now.since(**at) < FORGET_TIMEOUT)
            .map(|(address, _)| *address);
        let mut targets: collections::BTreeSet<net::Ipv4Addr> = apply_update
            .chain(named)
            .chain(self.seeds.iter().copied())
            .collect();
        targets.remove(&self.own);
        targets
    }

    /// Returns the instances that live and aren't leaving, without this one.
    pub fn alive(&self, now: clock::Timestamp) -> impl Iterator<Item = net::Ipv4Addr> {
        self.states
            .iter()
            .filter(move |(_, state)| {
                !state.news.leaving && now.since(state.heard_at) < ALIVE_TIMEOUT
            })
            .map(|(address, _)| *address)
    }

    /// Returns how many instances share the load, this one included.
    #[must_use]
    pub fn live_count(&self, now: clock::Timestamp) -> usize {
        self.alive(now).count() + 1
    }

    /// Returns the rank of this instance among those that live, 0 for the one that reads the
    /// platform's store for all.
    #[must_use]
    pub fn rank(&self, now: clock::Timestamp) -> usize {
        self.alive(now)
            .filter(|address| *address < self.own)
            .count()
    }

    /// Returns what the other instances use together, by backend server, when streams generate
    /// `pace` tokens a millisecond.
    #[must_use]
    pub fn usage(
        &self,
        now: clock::Timestamp,
        pace: f64,
    ) -> collections::BTreeMap<u64, engine_usage::EngineUsage> {
        let mut total: collections::BTreeMap<u64, engine_usage::EngineUsage> =
            collections::BTreeMap::new();
        let fresh = self
            .states
            .values()
            .filter(|state| now.since(state.heard_at) < USAGE_TIMEOUT);
        for state in fresh {
            let age = now.since(state.heard_at).as_secs_f64() * 1_000.0;
            let generated = (age * pace) as u32;
            for (server, usage) in &state.news.usage {
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
    ) -> impl Iterator<Item = &sync::Arc<wait_line::WaitingAsk>> {
        self.states
            .values()
            .filter(move |state| now.since(state.heard_at) < WAITING_TIMEOUT)
            .flat_map(|state| &state.waiting)
    }

    /// Returns the engines that other instances tell to be paused.
    #[must_use]
    pub fn paused(&self, now: clock::Timestamp) -> collections::BTreeSet<u64> {
        self.states
            .values()
            .filter(|state| now.since(state.heard_at) < ALIVE_TIMEOUT)
            .flat_map(|state| state.news.paused.iter().copied())
            .collect()
    }

    /// Returns what the other instances have counted of a service's requests and repeats.
    #[must_use]
    pub fn fleet_count(
        &self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        bound: &retry::RetryBound,
    ) -> retry::FleetCount {
        let hash = instance_news::service_hash(service);
        let mut count = retry::RetryCount::default();
        let mut covered = 0.0;
        let recent = self
            .states
            .values()
            .filter(|state| now.since(state.heard_at) < bound.window);
        for state in recent {
            covered += state.news.count_window.as_secs_f64() / bound.window.as_secs_f64();
            let counts = state.news.retries.iter();
            for (_, other) in counts.filter(|(other, _)| *other == hash) {
                count.requests += other.requests;
                count.retries += other.retries;
            }
        }
        let apply_update = self.states.len().max(self.targets(now).len());
        retry::FleetCount {
            count,
            live: u32::try_from(self.live_count(now)).unwrap_or(u32::MAX),
            known: u32::try_from(apply_update + 1).unwrap_or(u32::MAX),
            covered,
        }
    }

    /// Returns how many instances live, and how many are known, this one included in both.
    #[must_use]
    pub fn counts(&self, now: clock::Timestamp) -> (u32, u32) {
        let known = self
            .states
            .values()
            .filter(|state| !state.news.leaving)
            .count();
        let whole = |count: usize| u32::try_from(count + 1).unwrap_or(u32::MAX);
        (whole(self.alive(now).count()), whole(known))
    }

    /// Returns the time since the last instance fell silent that neither left nor came back.
    #[must_use]
    pub fn silent_for(&self, now: clock::Timestamp) -> Option<time::Duration> {
        self.states
            .values()
            .filter(|state| !state.news.leaving)
            .map(|state| now.since(state.heard_at))
            .filter(|silent| *silent >= ALIVE_TIMEOUT)
            .min()
    }

    /// Returns the time since another instance gave an order to an engine.
    #[must_use]
    pub fn last_order_age(&self, now: clock::Timestamp) -> Option<time::Duration> {
        self.states
            .values()
            .filter(|state| state.news.last_fence > 0)
            .map(|state| state.news.last_order_age + now.since(state.heard_at))
            .min()
    }

    /// Returns the largest fencing number that another instance has used, 0 without any.
    #[must_use]
    pub fn largest_fence(&self) -> u64 {
        self.states
            .values()
            .map(|state| state.news.last_fence)
            .max()
            .unwrap_or(0)
    }

    /// Returns the instance whose view is the newest, for copying it.
    #[must_use]
    pub fn best_view(&self, now: clock::Timestamp) -> Option<net::Ipv4Addr> {
        self.states
            .values()
            .filter(|state| now.since(state.heard_at) < ALIVE_TIMEOUT)
            .filter(|state| state.news.fingerprint != 0)
            .max_by_key(|state| {
                let read_at = state.heard_at.before(state.news.view_age);
                (state.news.revision, read_at)
            })
            .map(|state| state.news.address)
    }
}
