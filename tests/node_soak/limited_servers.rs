//! Servers of the soak test that limit the rate of their requests.

use std::{collections, time};

use rand::{RngExt as _, seq::IndexedRandom as _};

use crate::{
    caller_load,
    common::{fake_worker, site},
    process_fault,
};

/// Window in which the requests to a server are counted.
const WINDOW: time::Duration = time::Duration::from_secs(4);

/// Time after an answer with a limit from which the requests of its receiver count.
const TOLD_TIME: time::Duration = time::Duration::from_millis(500);

/// Limit that a server names from a moment on, in requests a second; `None` for its end.
struct NamedLimit {
    server: String,
    from: time::Instant,
    limit: Option<u32>,
}

/// Servers that limit the rate of their requests.
#[derive(Default)]
pub struct LimitedServers {
    limits: Vec<NamedLimit>,
}

impl LimitedServers {
    /// Makes a server name another limit, or none. The last server stays without a limit.
    pub fn change(&mut self, site: &site::Site, random: &mut rand_chacha::ChaCha8Rng) {
        let ends = self
            .limits
            .last()
            .is_some_and(|named| named.limit.is_some())
            && random.random_range(0..4) == 0;
        let limit = (!ends).then(|| *[5, 10, 20, 40].choose(random).expect("there are limits"));
        let server = &site.servers[0];
        server.limit_rate(limit.map(|limit| limit.to_string()).as_deref());
        self.limits.push(NamedLimit {
            server: server.id.clone(),
            from: time::Instant::now(),
            limit,
        });
    }

    /// Returns the violations of the limits. `is_excused` tells for the id and the time of a request
    /// whether a fault of the process that received it excuses it.
    pub fn violations(
        &self,
        site: &site::Site,
        is_excused: impl Fn(&str, time::Instant) -> bool,
    ) -> Vec<String> {
        let servers = site.servers.iter();
        servers
            .filter_map(|server| self.violation(server, &is_excused))
            .collect()
    }

    fn violation(
        &self,
        server: &fake_worker::FakeWorker,
        is_excused: impl Fn(&str, time::Instant) -> bool,
    ) -> Option<String> {
        let first = self.limits.iter().find(|named| named.server == server.id)?;
        let mut told = collections::BTreeMap::new();
        let mut counted = Vec::new();
        for (id, at) in server.arrivals().iter().filter(|(_, at)| *at >= first.from) {
            let receiver = caller_load::receiver_of(id);
            let told_at = *told.entry(receiver).or_insert(*at);
            let is_counted = *at >= first.from + process_fault::STABLE_TIME
                && *at >= told_at + TOLD_TIME * 2
                && !is_excused(id, *at);
            if is_counted {
                counted.push(*at);
            }
        }
        counted.iter().enumerate().find_map(|(index, start)| {
            let window = counted[index..].iter();
            let count = window.take_while(|at| **at < *start + WINDOW).count();
            let limit = self.largest_limit(&server.id, *start)?;
            let allowed = f64::from(limit) * WINDOW.as_secs_f64() * 1.5 + 5.0;
            (count as f64 > allowed).then(|| {
                let id = &server.id;
                format!("{id} got {count} requests in 4 s at a limit of {limit} a second")
            })
        })
    }

    /// Returns the largest limit of a server in the window that begins at `start`; `None` if it names
    /// none in a part of it.
    fn largest_limit(&self, server: &str, start: time::Instant) -> Option<u32> {
        let named = self.limits.iter().filter(|named| named.server == server);
        let named: Vec<_> = named.collect();
        let mut largest = 0;
        for (index, limit) in named.iter().enumerate() {
            let until = named.get(index + 1).map(|next| next.from + TOLD_TIME);
            let is_in_force =
                limit.from < start + WINDOW && until.is_none_or(|until| until > start);
            if is_in_force {
                largest = largest.max(limit.limit?);
            }
        }
        Some(largest)
    }
}
