//! Servers that this instance can't reach while others do, and the instances that serve its requests
//! meanwhile.

use std::{collections, net, time};

use rand::RngExt as _;

use crate::{backend, backend_entry, instance_update, relay_core};

/// Number of servers that have to be lost before their service counts as out of reach, if it has as
/// many.
const MIN_LOST_SERVERS: usize = 2;

/// Lost servers of a service that are probed at a time. One answer makes all of them due.
const PROBES_AT_A_TIME: usize = 2;

/// Time after an answer of a service's server within which all lost ones are probed.
const RETURN_TIME: time::Duration = time::Duration::from_secs(1);

/// Probe of a server that this instance has lost.
#[derive(Clone, Debug)]
pub struct ServerProbe {
    /// Key of the server.
    pub key: backend::BackendKey,
    /// Entry of the server.
    pub entry: backend_entry::BackendEntry,
    /// Path of the health check of the server's service, if it has one.
    pub health_path: Option<String>,
}

/// Lost and reached servers of one stage of a service.
#[derive(Clone, Copy, Debug, Default)]
struct ReachCount {
    current: usize,
    lost: usize,
    reached: usize,
}

impl ReachCount {
    /// Returns whether most of the servers of which something is known are lost.
    fn is_out_of_reach(self) -> bool {
        self.lost >= MIN_LOST_SERVERS.min(self.current) && self.lost > self.reached
    }
}

impl relay_core::RelayCore {
    /// Returns whether this instance has lost most servers of a stage of a service.
    #[must_use]
    pub fn is_out_of_reach(&self, now: clock::Timestamp, service: &ids::ServiceName) -> bool {
        let mut counts: collections::BTreeMap<Option<&'static str>, ReachCount> =
            collections::BTreeMap::new();
        let servers = self.backends.table().values();
        let current = servers.filter(|server| server.is_current());
        for server in current.filter(|server| server.entry.service == *service) {
            let count = counts
                .entry(server.entry.stage.map(Into::into))
                .or_default();
            count.current += 1;
            count.lost += usize::from(server.reach.is_lost());
            count.reached += usize::from(server.reach.is_reached(now));
        }
        counts.into_values().any(ReachCount::is_out_of_reach)
    }

    /// Returns the services that are out of reach, by [`crate::service_hash`].
    pub(super) fn out_of_reach(&self, now: clock::Timestamp) -> Vec<u64> {
        self.lost_services(now)
            .iter()
            .map(instance_update::service_hash)
            .collect()
    }

    fn lost_services(&self, now: clock::Timestamp) -> Vec<ids::ServiceName> {
        let servers = self.backends.table().values();
        let suspected: collections::BTreeSet<&ids::ServiceName> = servers
            .filter(|server| server.reach.is_lost())
            .map(|server| &server.entry.service)
            .collect();
        let lost = suspected.into_iter();
        lost.filter(|service| self.is_out_of_reach(now, service))
            .cloned()
            .collect()
    }

    /// Returns the servers that this instance reports as unreachable. Those of services that are out of
    /// its reach are left out, since others may reach them.
    pub(super) fn reported_unreachable(&self, now: clock::Timestamp) -> Vec<u64> {
        let lost = self.lost_services(now);
        self.backends.own_unreachable(now, &lost)
    }

    /// Returns whether an address is that of an instance that has sent a state update recently.
    #[must_use]
    pub fn is_peer(&self, now: clock::Timestamp, address: net::Ipv4Addr) -> bool {
        self.instances.is_alive(now, address)
    }

    /// Returns an instance that reaches the servers of a service, outside `tried`: the one with the
    /// fewest requests of this instance, the nearest of these.
    pub fn select_proxy(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        tried: &[net::Ipv4Addr],
    ) -> Option<net::Ipv4Addr> {
        let own_centre = self.data_centre_hash;
        let service = instance_update::service_hash(service);
        let candidates: Vec<(net::Ipv4Addr, u32)> = self
            .instances
            .reaching(now, service)
            .filter(|(address, _)| !tried.contains(address))
            .collect();
        let offset = self.random.random_range(0..candidates.len().max(1));
        let by_load = candidates
            .iter()
            .enumerate()
            .min_by_key(|(index, candidate)| {
                let (address, data_centre) = candidate;
                let load = self.proxied.get(address).copied().unwrap_or(0);
                let position = (index + candidates.len() - offset) % candidates.len();
                (load, *data_centre != own_centre, position)
            });
        by_load.map(|(_, (address, _))| *address)
    }

    /// Returns whether an instance reaches the servers of a service.
    #[must_use]
    pub fn has_proxy(&self, now: clock::Timestamp, service: &ids::ServiceName) -> bool {
        let service = instance_update::service_hash(service);
        self.instances.reaching(now, service).next().is_some()
    }

    /// Counts a request that another instance serves for this one.
    pub fn begin_proxied(&mut self, proxy: net::Ipv4Addr) {
        *self.proxied.entry(proxy).or_default() += 1;
    }

    /// Records that another instance no longer serves a request for this one.
    pub fn end_proxied(&mut self, proxy: net::Ipv4Addr) {
        if let Some(count) = self.proxied.get_mut(&proxy) {
            *count = count.saturating_sub(1);
        }
        self.proxied.retain(|_, count| *count > 0);
    }

    /// Returns the lost servers to probe now, of services that are out of reach, and counts them as
    /// probed.
    pub fn due_probes(&mut self, now: clock::Timestamp) -> Vec<ServerProbe> {
        let lost = self.lost_services(now);
        let mut probes = Vec::new();
        for service in &lost {
            let health_path = self.health_path(service);
            for key in self.lost_servers(now, service) {
                let Some(server) = self.backends.get_mut(key) else {
                    continue;
                };
                server.reach.record_probe(now);
                probes.push(ServerProbe {
                    key,
                    entry: server.entry.clone(),
                    health_path: health_path.clone(),
                });
            }
        }
        probes
    }

    /// Returns the lost servers of a service that are due: all once one of the service has answered,
    /// otherwise those whose last probe is oldest.
    fn lost_servers(
        &self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
    ) -> Vec<backend::BackendKey> {
        let servers = || {
            let table = self.backends.table().iter();
            table.filter(|(_, server)| server.is_current() && server.entry.service == *service)
        };
        let is_back =
            servers().any(|(_, server)| server.reach.has_answered_within(now, RETURN_TIME));
        let mut lost: Vec<_> = servers()
            .filter(|(_, server)| server.reach.is_lost())
            .map(|(key, server)| (server.reach.probed_at(), key))
            .collect();
        lost.sort_unstable();
        if !is_back {
            lost.truncate(PROBES_AT_A_TIME);
        }
        lost.into_iter().map(|(_, key)| key).collect()
    }

    /// Records whether a probed server has answered. One that has receives requests again at once.
    pub fn record_probe(
        &mut self,
        now: clock::Timestamp,
        key: backend::BackendKey,
        has_answered: bool,
    ) {
        if let Some(server) = self.backends.get_mut(key).filter(|_| has_answered) {
            server.record_return(now);
        }
    }

    fn health_path(&self, service: &ids::ServiceName) -> Option<String> {
        let config = self.tracker.view().config.as_ref()?;
        config.services.get(service)?.health_path.clone()
    }
}
