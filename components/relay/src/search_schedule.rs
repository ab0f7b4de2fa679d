//! Decides which instance asks the engines of a service about streams that no instance knows, and when.
//!
//! The load that this answers: all instances have ended and come back, and hundreds of callers take
//! up streams within a second, at all instances. The engines are asked once for all of them, before new
//! prompts displace those of the streams: by the first instance by rank, or the next one if nothing was
//! heard of the first.

use std::{collections, time};

/// Age of a process from which it asks engines, so that the instances of a restarted fleet have found
/// each other.
pub(crate) const MEETING_TIME: time::Duration = time::Duration::from_millis(250);

/// Time after which the next instance by rank asks instead of one that hasn't told anything.
const TAKE_OVER_TIME: time::Duration = time::Duration::from_millis(1_100);

/// Ranks by which an instance that isn't a seed comes later, since it is found by the others later.
const SEED_RANKS: usize = 2;

/// Time for which a stream waits for a search.
const SEARCH_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// Time within which the results of a search arrive after its end was told.
const RESULT_TIME: time::Duration = time::Duration::from_millis(300);

/// Longest time for which a search that was begun runs.
const ANSWER_TIME: time::Duration = time::Duration::from_secs(1);

/// Time after the end of a search from which all instances tell of it, not only the one that has asked.
const RELAY_TIME: time::Duration = time::Duration::from_secs(2);

/// Search for the streams of one service.
#[derive(Clone, Copy, Debug)]
struct ServiceSearch {
    /// Time at which a stream was first sought.
    sought_at: clock::Timestamp,
    /// Time at which this instance began to ask.
    begun_at: Option<clock::Timestamp>,
    /// Time at which this instance ended, or another one told that it has.
    ended_at: Option<clock::Timestamp>,
    /// Whether this instance has asked.
    is_own: bool,
}

/// Next step of the search for the streams of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SearchStep {
    /// This instance asks the engines of a service now.
    Begin(u64),
    /// The next step may be due after a time.
    Wait(time::Duration),
    /// Nothing is sought.
    Idle,
}

/// Decides which instance asks the engines of a service about streams, and when.
#[derive(Debug, Default)]
pub(crate) struct SearchSchedule {
    services: collections::BTreeMap<u64, ServiceSearch>,
}

impl SearchSchedule {
    /// Records that a stream of a service is sought, here or at another instance.
    pub(crate) fn seek(&mut self, now: clock::Timestamp, service: u64) {
        self.services.entry(service).or_insert(ServiceSearch {
            sought_at: now,
            begun_at: None,
            ended_at: None,
            is_own: false,
        });
    }

    /// Records that another instance has asked the engines of a service.
    pub(crate) fn end_elsewhere(&mut self, now: clock::Timestamp, service: u64) {
        self.seek(now, service);
        if let Some(search) = self.services.get_mut(&service) {
            search.ended_at.get_or_insert(now);
        }
    }

    /// Records that this instance has asked the engines of a service.
    pub(crate) fn end(&mut self, now: clock::Timestamp, service: u64) {
        if let Some(search) = self.services.get_mut(&service) {
            search.ended_at.get_or_insert(now);
            search.is_own = true;
        }
    }

    /// Returns whether what is asked may still tell of a stream of a service.
    pub(crate) fn is_awaited(&self, now: clock::Timestamp, service: u64) -> bool {
        self.services
            .get(&service)
            .is_some_and(|search| match search.ended_at {
                Some(ended_at) => !search.is_own && now.since(ended_at) < RESULT_TIME,
                None => now.since(search.sought_at) < SEARCH_TIMEOUT,
            })
    }

    /// Returns the next step of an instance of `rank`.
    pub(crate) fn next_step(
        &mut self,
        now: clock::Timestamp,
        rank: usize,
        is_seed: bool,
    ) -> SearchStep {
        let rank = rank + if is_seed { 0 } else { SEED_RANKS };
        let mut step = SearchStep::Idle;
        let open = self.services.iter_mut();
        let open = open.filter(|(_, search)| {
            search.begun_at.or(search.ended_at).is_none()
                && now.since(search.sought_at) < SEARCH_TIMEOUT
        });
        for (service, search) in open {
            let turn = u32::try_from(rank).unwrap_or(u32::MAX);
            let first = search
                .sought_at
                .max(clock::Timestamp::default() + MEETING_TIME);
            let due = first + TAKE_OVER_TIME.saturating_mul(turn);
            if due <= now {
                search.begun_at = Some(now);
                return SearchStep::Begin(*service);
            }
            step = SearchStep::Wait(match step {
                SearchStep::Wait(wait) => wait.min(due.since(now)),
                _ => due.since(now),
            });
        }
        step
    }

    /// Returns the services that are sought and that no instance has asked.
    pub(crate) fn sought(&self, now: clock::Timestamp) -> Vec<u64> {
        let open = self.services.iter().filter(|(_, search)| {
            search.ended_at.is_none() && now.since(search.sought_at) < SEARCH_TIMEOUT
        });
        open.map(|(service, _)| *service).collect()
    }

    /// Returns whether the engines of a service have been asked, or won't be asked any more by the instances
    /// that have started with this one; `None` if nothing is sought.
    pub(crate) fn is_settled(&self, now: clock::Timestamp, service: u64) -> Option<bool> {
        self.services.get(&service).map(|search| {
            let latest_end = search.sought_at + SEARCH_TIMEOUT + ANSWER_TIME;
            search.ended_at.is_some() || now >= latest_end
        })
    }

    /// Returns the services whose engines were asked less than `told_for` ago, by this instance or, if all
    /// have heard of it since, by another one.
    pub(crate) fn searched(&self, now: clock::Timestamp, told_for: time::Duration) -> Vec<u64> {
        let told = self.services.iter().filter(|(_, search)| {
            let age = search.ended_at.map(|ended_at| now.since(ended_at));
            age.is_some_and(|age| age < told_for && (search.is_own || age >= RELAY_TIME))
        });
        told.map(|(service, _)| *service).collect()
    }
}
