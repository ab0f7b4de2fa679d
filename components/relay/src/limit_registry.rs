//! Rate limits of all servers.
//!
//! A server names one limit for all instances together. Each instance counts its own requests to the
//! server and reports them in its state updates, so that all draw on one token bucket, of which each
//! instance keeps a copy. An instance that receives many requests uses more tokens than one that
//! receives few. Instances that are out of touch with some of the known ones leave them their share.

use std::{cmp, collections, time};

use crate::{limit_report, server_limit};

/// Time after the last answer for which a server without a limit is remembered, so that late reports
/// don't restore the limit.
const ENDED_MEMORY: time::Duration = time::Duration::from_secs(10);

/// Time after the last answer for which the limit of a server that isn't listed is remembered.
const UNLISTED_MEMORY: time::Duration = time::Duration::from_secs(60);

/// Largest number of servers in a state update.
const MAX_SENT: usize = 64;

/// Rate limits of all servers, by [`crate::incarnation_hash`].
#[derive(Clone, Debug, Default)]
pub struct LimitRegistry {
    limits: collections::BTreeMap<u64, server_limit::ServerLimit>,
}

impl LimitRegistry {
    /// Returns whether no server has a limit.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the requests per second that a server accepts, if it names a limit.
    #[must_use]
    pub fn rate(&self, server: u64) -> Option<f64> {
        self.limits
            .get(&server)
            .and_then(server_limit::ServerLimit::rate)
    }

    /// Returns the number of servers that name a limit.
    #[must_use]
    pub fn limited_servers(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|limit| limit.rate().is_some()).count()
    }

    /// Records the limit in an answer that arrived now; returns whether it has changed.
    pub fn observe(&mut self, now: clock::Timestamp, server: u64, rate: Option<f64>) -> bool {
        if rate.is_none() && !self.limits.contains_key(&server) {
            return false;
        }
        self.entry(now, server).observe(now, now, rate, true)
    }

    /// Returns the number of requests that may be sent to a server now; infinite without a limit.
    #[must_use]
    pub fn available(&self, now: clock::Timestamp, server: u64) -> f64 {
        self.limits
            .get(&server)
            .map_or(f64::INFINITY, |limit| limit.available(now))
    }

    /// Returns whether a request may be sent to a server now.
    #[must_use]
    pub fn has_token(&self, now: clock::Timestamp, server: u64) -> bool {
        self.available(now, server) >= 1.0
    }

    /// Returns the time until a request may be sent to a server.
    #[must_use]
    pub fn wait(&self, now: clock::Timestamp, server: u64) -> time::Duration {
        self.limits
            .get(&server)
            .map_or(time::Duration::ZERO, |limit| limit.wait(now))
    }

    /// Counts a request that this instance sends to a server.
    pub fn count_request(&mut self, now: clock::Timestamp, server: u64) {
        if let Some(limit) = self.limits.get_mut(&server) {
            limit.count_own(now);
        }
    }

    /// Counts a request that another instance is expected to send to a server next.
    pub fn count_expected(&mut self, server: u64) {
        if let Some(limit) = self.limits.get_mut(&server) {
            limit.expected += 1;
        }
    }

    /// Clears the expected requests of other instances.
    pub fn clear_expected(&mut self) {
        for limit in self.limits.values_mut() {
            limit.expected = 0;
        }
    }

    /// Sets the share of the limits that the instances in touch with this one use.
    pub fn set_share(&mut self, now: clock::Timestamp, share: f64) {
        for limit in self.limits.values_mut() {
            limit.set_share(now, share);
        }
    }

    /// Applies the reports of another instance.
    pub fn apply_reports(
        &mut self,
        now: clock::Timestamp,
        source: limit_report::ReportSource,
        reports: &[limit_report::LimitReport],
    ) {
        for report in reports {
            let names_limit = report
                .observation
                .is_some_and(|observation| observation.rate.is_some());
            if names_limit || self.limits.contains_key(&report.server) {
                self.entry(now, report.server)
                    .apply_report(now, source, report);
            }
        }
    }

    /// Returns the reports of this instance, on the servers with the newest answers first.
    #[must_use]
    pub fn reports(&self, now: clock::Timestamp) -> Vec<limit_report::LimitReport> {
        let mut limits: Vec<_> = self.limits.iter().collect();
        limits.sort_by_key(|(_, limit)| cmp::Reverse(limit.observed_at()));
        limits
            .into_iter()
            .map(|(server, limit)| limit.report(now, *server))
            .filter(|report| report.observation.is_some() || report.requests > 0)
            .take(MAX_SENT)
            .collect()
    }

    /// Forgets servers whose limit has ended, and those that aren't listed, some time after their
    /// last answer.
    pub fn remove_outdated(&mut self, now: clock::Timestamp, listed: &collections::BTreeSet<u64>) {
        self.limits.retain(|server, limit| {
            let silence = now.since(limit.observed_at());
            let memory = match limit.rate() {
                None => ENDED_MEMORY,
                Some(_) if listed.contains(server) => time::Duration::MAX,
                Some(_) => UNLISTED_MEMORY,
            };
            silence < memory
        });
    }

    fn entry(&mut self, now: clock::Timestamp, server: u64) -> &mut server_limit::ServerLimit {
        self.limits
            .entry(server)
            .or_insert_with(|| server_limit::ServerLimit::new(now))
    }
}
