//! Crashes of servers under requests with one suspect.

use std::{collections, time};

use crate::crash_report;

/// Minimum time between two crashes that count against a segment. Engines that fail together are one
/// failure.
const CRASH_SPACING: time::Duration = time::Duration::from_millis(200);

/// Time for which a crash is remembered.
const CRASH_MEMORY: time::Duration = time::Duration::from_secs(600);

/// Time for which a crash is remembered after its suspect was cleared, so that late state updates
/// don't report it again.
const CLEARED_MEMORY: time::Duration = time::Duration::from_secs(30);

/// Largest number of crashes that are remembered.
const MAX_CRASHES: usize = 64;

/// A crash that was seen by this instance or another.
#[derive(Clone, Copy, Debug)]
struct SeenCrash {
    at: clock::Timestamp,
    source: crash_report::CrashSource,
    is_own: bool,
    /// Whether the suspect has not been cleared since.
    is_suspected: bool,
}

/// Crashes of servers under requests with one suspect, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct SuspectCrashes {
    /// Whether the suspect is a whole request, which is the same at each crash, rather than a
    /// segment.
    is_whole_request: bool,
    crashes: Vec<SeenCrash>,
}

impl SuspectCrashes {
    pub(crate) const fn new(is_whole_request: bool) -> Self {
        Self {
            is_whole_request,
            crashes: Vec::new(),
        }
    }

    pub(crate) const fn is_whole_request(&self) -> bool {
        self.is_whole_request
    }

    /// Adds a crash; returns whether it was unknown. Copies of a whole request that end one server are
    /// one crash.
    pub(crate) fn add(
        &mut self,
        now: clock::Timestamp,
        source: crash_report::CrashSource,
        is_own: bool,
    ) -> bool {
        let is_known = self.crashes.iter().any(|crash| {
            crash.source.server == source.server
                && (self.is_whole_request || crash.source.request == source.request)
        });
        if is_known || self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.crashes.push(SeenCrash {
            at: now,
            source,
            is_own,
            is_suspected: true,
        });
        true
    }

    /// Clears the suspect of the crashes so far.
    pub(crate) fn clear(&mut self) {
        for crash in &mut self.crashes {
            crash.is_suspected = false;
        }
    }

    /// Removes outdated crashes; returns whether some are left.
    pub(crate) fn sweep(&mut self, now: clock::Timestamp) -> bool {
        self.crashes.retain(|crash| {
            let memory = if crash.is_suspected {
                CRASH_MEMORY
            } else {
                CLEARED_MEMORY
            };
            now.since(crash.at) < memory
        });
        !self.crashes.is_empty()
    }

    /// Returns whether a crash has happened since the suspect was last cleared.
    pub(crate) fn is_suspected(&self) -> bool {
        self.suspected().next().is_some()
    }

    /// Returns the rank by which suspects are kept and reported: the number of crashes since the
    /// suspect was last cleared, and the time of the last crash.
    pub(crate) fn rank(&self) -> (usize, clock::Timestamp) {
        let last = self.crashes.last().map(|crash| crash.at);
        (self.suspected().count(), last.unwrap_or_default())
    }

    /// Returns the crashes that this instance has seen itself since the suspect was last cleared.
    pub(crate) fn own(&self) -> impl Iterator<Item = crash_report::CrashSource> {
        self.suspected()
            .filter(|crash| crash.is_own)
            .map(|crash| crash.source)
    }

    /// Returns the servers that crashed since the suspect was last cleared.
    pub(crate) fn servers(&self) -> impl Iterator<Item = u64> {
        self.suspected().map(|crash| crash.source.server)
    }

    /// Returns the time of the first of at least `limit` crashes since the suspect was last cleared,
    /// without those that other requests explain; `None` if there are fewer. Crashes that count
    /// against a segment have a minimum time in between and are of as many different requests.
    /// `explained` are the causes by server.
    pub(crate) fn first_of(
        &self,
        limit: usize,
        explained: &collections::BTreeMap<u64, u64>,
    ) -> Option<clock::Timestamp> {
        let mut first = None;
        let mut last: Option<clock::Timestamp> = None;
        let mut count = 0;
        let mut requests = collections::BTreeSet::new();
        for crash in self.suspected() {
            let cause = explained.get(&crash.source.server);
            if cause.is_some_and(|cause| *cause != crash.source.request) {
                continue;
            }
            requests.insert(crash.source.request);
            let is_apart = last.is_none_or(|last| crash.at.since(last) >= CRASH_SPACING);
            if is_apart || self.is_whole_request {
                first.get_or_insert(crash.at);
                last = Some(crash.at);
                count += 1;
            }
        }
        let are_different = self.is_whole_request || requests.len() >= limit;
        first.filter(|_| count >= limit && are_different)
    }

    fn suspected(&self) -> impl Iterator<Item = &SeenCrash> {
        self.crashes.iter().filter(|crash| crash.is_suspected)
    }
}
