//! The backend servers and the queue of one plain service.

use std::{sync, time};

use rand::RngExt as _;

use crate::{concurrency_limit, fair_queue, server_gate, server_health};

/// Load, in shares of a limit, that a server in another data centre is held to carry besides.
const OTHER_CENTRE_COST: f64 = 0.5;

/// Load, in shares of a limit, that a server in another region is held to carry besides.
const OTHER_REGION_COST: f64 = 4.0;

/// Time between two looks at servers that return gradually, while calls wait.
const RETURN_STEP: time::Duration = time::Duration::from_millis(100);

/// Ratio to the fastest half's latency at which a server is ejected as slow.
const SLOW_RATIO: f64 = 4.0;

/// Latency below which no server is ejected as slow, in seconds.
const SLOW_FLOOR_SECONDS: f64 = 0.05;

/// Calls open at a server beyond which its latency may come from its load and not from a fault.
const SLOW_OPEN: u32 = 1;

/// Weight of a new latency in the lane's average.
const LATENCY_WEIGHT: f64 = 0.05;

/// The backend servers and the queue of one plain service.
#[derive(Clone)]
pub struct ServiceLane {
    /// Calls that wait for a server.
    pub queue: fair_queue::FairQueue,
    /// Retries that the service's traffic allows.
    pub budget: retry::RetryBudget,
    /// When to look for room again while calls wait.
    pub retry_at: clock::Timestamp,
    gates: indexmap::IndexMap<ids::ServerName, server_gate::ServerGate>,
    latency_seconds: f64,
    /// First region by name with servers, whose instances are the witnesses of the lane's keys.
    home: Option<ids::RegionName>,
}

impl ServiceLane {
    /// Makes a lane without servers.
    pub fn new(queue_limit: usize) -> Self {
        Self {
            queue: fair_queue::FairQueue::new(queue_limit),
            budget: retry::RetryBudget::default(),
            retry_at: clock::Timestamp::MAX,
            gates: indexmap::IndexMap::new(),
            latency_seconds: 0.0,
            home: None,
        }
    }

    /// Takes the servers of the state in force; known ones keep what was learnt of them.
    pub fn set_servers<'entry>(
        &mut self,
        entries: impl Iterator<Item = &'entry sync::Arc<note::ServerEntry>>,
        own: Option<&border::InstanceEntry>,
        sharers: u32,
    ) {
        let mut old = std::mem::take(&mut self.gates);
        self.home = None;
        for entry in entries {
            let mut gate = old
                .swap_remove(&entry.name)
                .unwrap_or_else(|| new_gate(entry, sharers));
            gate.limit.set_ceiling(entry.concurrency);
            gate.leaving = entry.leaving;
            gate.local = own.is_some_and(|own| own.data_centre == entry.data_centre);
            gate.near = own.is_none_or(|own| own.region == entry.region);
            self.gates.insert(entry.name.clone(), gate);
            if self.home.as_ref().is_none_or(|home| entry.region < *home) {
                self.home = Some(entry.region.clone());
            }
        }
    }

    /// Returns the region whose instances are the witnesses of the lane's keys.
    pub const fn home(&self) -> Option<&ids::RegionName> {
        self.home.as_ref()
    }

    /// Returns whether any server takes new work, ejected ones included.
    pub fn has_server(&self) -> bool {
        self.gates.values().any(|gate| !gate.leaving)
    }

    /// Returns whether the lane has servers, leaving ones included.
    pub fn has_any(&self) -> bool {
        !self.gates.is_empty()
    }

    /// Returns whether a server takes new work.
    pub fn takes_work(&self, server: &ids::ServerName) -> bool {
        self.gates.get(server).is_some_and(|gate| !gate.leaving)
    }

    /// Returns the time a new call would wait for a server.
    pub fn expected_wait(&self, now: clock::Timestamp) -> time::Duration {
        let allowed: f64 = self.gates.values().map(|gate| gate.allowed(now)).sum();
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let seconds = self.latency_seconds * f64::from(waiting) / allowed.max(1.0);
        time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
    }

    /// Opens a call at the best server with room, if there is one, and returns the server.
    pub fn open(
        &mut self,
        now: clock::Timestamp,
        avoid: Option<&ids::ServerName>,
        generator: &mut rand_chacha::ChaCha8Rng,
    ) -> Option<ids::ServerName> {
        let start = generator.random_range(0..self.gates.len().max(1));
        let best = self
            .rotated(start)
            .filter(|(name, gate)| Some(*name) != avoid && gate.has_room(now))
            .min_by(|(_, left), (_, right)| cost(left, now).total_cmp(&cost(right, now)))
            .map(|(name, _)| name.clone())?;
        if let Some(gate) = self.gates.get_mut(&best) {
            gate.open += 1;
        }
        Some(best)
    }

    /// Closes a call at a server without a verdict on the server.
    pub fn close(&mut self, server: &ids::ServerName) {
        if let Some(gate) = self.gates.get_mut(server) {
            gate.open = gate.open.saturating_sub(1);
        }
    }

    /// Takes in that a server answered well.
    pub fn succeeded(
        &mut self,
        now: clock::Timestamp,
        server: &ids::ServerName,
        latency: time::Duration,
    ) {
        let seconds = latency.as_secs_f64();
        self.latency_seconds += (seconds - self.latency_seconds) * LATENCY_WEIGHT;
        if let Some(gate) = self.gates.get_mut(server) {
            gate.succeeded(now, latency);
        }
        if self.is_slow(server) {
            self.eject(now, server, server_health::SLOWNESS_CAP);
        }
    }

    /// Takes in that a server failed a call or refused it for overload.
    pub fn failed(&mut self, now: clock::Timestamp, server: &ids::ServerName) {
        let Some(gate) = self.gates.get_mut(server) else {
            return;
        };
        gate.limit.cut(now);
        if gate.health.failed(now) {
            self.eject(now, server, server_health::FAILURE_CAP);
        }
    }

    /// Takes in that a server asked for fewer calls.
    pub fn overloaded(&mut self, now: clock::Timestamp, server: &ids::ServerName) {
        if let Some(gate) = self.gates.get_mut(server) {
            gate.limit.cut(now);
        }
    }

    /// Plans when to look for room again while calls wait.
    pub fn plan_retry(&mut self, now: clock::Timestamp) {
        self.retry_at = clock::Timestamp::MAX;
        if self.queue.is_empty() {
            return;
        }
        for gate in self.gates.values().filter(|gate| !gate.leaving) {
            let next = match gate.health.ejected_until(now) {
                Some(until) => until,
                None if gate.health.is_impaired() => now + RETURN_STEP,
                None => clock::Timestamp::MAX,
            };
            self.retry_at = self.retry_at.min(next);
        }
    }

    /// Ejects a server while at most half of the servers are ejected.
    fn eject(&mut self, now: clock::Timestamp, server: &ids::ServerName, cap: time::Duration) {
        let ejected = self
            .gates
            .values()
            .filter(|gate| gate.health.ejected_until(now).is_some())
            .count();
        if (ejected + 1) * 2 > self.gates.len() {
            return;
        }
        if let Some(gate) = self.gates.get_mut(server) {
            gate.health.eject(now, cap);
        }
    }

    fn is_slow(&self, server: &ids::ServerName) -> bool {
        let Some(recent) = self
            .gates
            .get(server)
            .filter(|gate| !gate.health.is_impaired() && gate.open <= SLOW_OPEN)
            .and_then(|gate| gate.limit.recent_seconds())
        else {
            return false;
        };
        if recent < SLOW_FLOOR_SECONDS {
            return false;
        }
        let mut others: Vec<_> = self
            .gates
            .iter()
            .filter(|(name, _)| *name != server)
            .filter_map(|(_, gate)| gate.limit.recent_seconds())
            .collect();
        others.sort_unstable_by(f64::total_cmp);
        others
            .get(others.len() / 2)
            .is_some_and(|median| recent > median * SLOW_RATIO)
    }

    fn rotated(
        &self,
        start: usize,
    ) -> impl Iterator<Item = (&ids::ServerName, &server_gate::ServerGate)> {
        self.gates
            .iter()
            .skip(start)
            .chain(self.gates.iter().take(start))
    }
}

fn new_gate(entry: &note::ServerEntry, sharers: u32) -> server_gate::ServerGate {
    let start = entry.concurrency.div_ceil(sharers.max(1));
    server_gate::ServerGate {
        local: false,
        near: false,
        leaving: entry.leaving,
        open: 0,
        limit: concurrency_limit::ConcurrencyLimit::new(start, entry.concurrency),
        health: server_health::ServerHealth::default(),
    }
}

fn cost(gate: &server_gate::ServerGate, now: clock::Timestamp) -> f64 {
    let load = f64::from(gate.open) / gate.allowed(now).max(f64::MIN_POSITIVE);
    match (gate.local, gate.near) {
        (true, _) => load,
        (false, true) => load + OTHER_CENTRE_COST,
        (false, false) => load + OTHER_REGION_COST,
    }
}
