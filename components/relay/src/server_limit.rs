//! Rate limit that a server names, and the requests that all instances send there.

use std::{collections, net, time};

use crate::{limit_report, token_bucket};

/// Smallest rate in requests per second. A server that names a smaller one, or zero, is sent a
/// request now and then, since only an answer tells that the limit has ended.
const MIN_RATE: f64 = 0.2;

/// Difference between the times at which two instances learn of the same limit.
const LEARNING_DELAY: time::Duration = time::Duration::from_millis(250);

/// Requests that a process has reported.
#[derive(Clone, Copy, Debug)]
struct PeerCount {
    incarnation: u64,
    requests: u32,
}

/// Rate limit that a server names, and the requests that all instances send there.
#[derive(Clone, Debug)]
pub(crate) struct ServerLimit {
    /// Requests per second that the server named in the newest known answer.
    rate: Option<f64>,
    /// Time of that answer.
    observed_at: clock::Timestamp,
    /// Whether this instance received that answer.
    is_own: bool,
    /// Time from which the requests are counted.
    counted_from: clock::Timestamp,
    own_requests: u32,
    peers: collections::BTreeMap<net::Ipv4Addr, PeerCount>,
    bucket: token_bucket::TokenBucket,
    /// Requests of other instances that are expected to be sent next.
    pub(crate) expected: u32,
}

impl ServerLimit {
    /// Creates the state of a server that has named its first limit.
    pub(crate) fn new(now: clock::Timestamp) -> Self {
        Self {
            rate: None,
            observed_at: clock::Timestamp::default(),
            is_own: false,
            counted_from: now,
            own_requests: 0,
            peers: collections::BTreeMap::new(),
            bucket: token_bucket::TokenBucket::empty(now, MIN_RATE),
            expected: 0,
        }
    }

    /// Returns the requests per second that the server accepts, if it names a limit.
    pub(crate) const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Returns the time of the newest known answer.
    pub(crate) const fn observed_at(&self) -> clock::Timestamp {
        self.observed_at
    }

    /// Records the limit in an answer that arrived at `observed_at`, here or at another instance;
    /// returns whether the limit has changed.
    pub(crate) fn observe(
        &mut self,
        now: clock::Timestamp,
        observed_at: clock::Timestamp,
        rate: Option<f64>,
        is_own: bool,
    ) -> bool {
        if observed_at < self.observed_at {
            return false;
        }
        self.observed_at = observed_at;
        self.is_own = is_own;
        let before = std::mem::replace(&mut self.rate, rate);
        if before.is_none() {
            let rate = rate.unwrap_or(MIN_RATE);
            self.bucket = token_bucket::TokenBucket::empty(now, rate.max(MIN_RATE));
        }
        before != rate
    }

    /// Sets the share of the limit that the instances in touch with this one use.
    pub(crate) fn set_share(&mut self, now: clock::Timestamp, share: f64) {
        if let Some(rate) = self.rate {
            self.bucket.set_rate(now, (rate * share).max(MIN_RATE));
        }
    }

    /// Returns the requests that may be sent now, besides the expected ones of other instances.
    pub(crate) fn available(&self, now: clock::Timestamp) -> f64 {
        match self.rate {
            Some(_) => self.bucket.tokens(now) - f64::from(self.expected),
            None => f64::INFINITY,
        }
    }

    /// Returns the time until a request may be sent.
    pub(crate) fn wait(&self, now: clock::Timestamp) -> time::Duration {
        match self.rate {
            Some(_) => self.bucket.wait(now, 1.0),
            None => time::Duration::ZERO,
        }
    }

    /// Counts a request of this instance.
    pub(crate) fn count_own(&mut self, now: clock::Timestamp) {
        self.own_requests = self.own_requests.wrapping_add(1);
        self.bucket.take(now, 1);
    }

    /// Applies a report of another instance.
    pub(crate) fn apply_report(
        &mut self,
        now: clock::Timestamp,
        source: limit_report::ReportSource,
        report: &limit_report::LimitReport,
    ) {
        if let Some(observation) = report.observation {
            let observed_at = now.before(observation.age);
            self.observe(now, observed_at, observation.rate, false);
        }
        let requests = self.new_requests(now, source, report);
        self.bucket.take(now, requests);
        let count = PeerCount {
            incarnation: source.incarnation,
            requests: report.requests,
        };
        self.peers.insert(source.address, count);
    }

    /// Returns the requests of a report that have not been counted yet. Those of a process that was
    /// silent, or that was counting long before this one, were sent in an unknown time.
    fn new_requests(
        &self,
        now: clock::Timestamp,
        source: limit_report::ReportSource,
        report: &limit_report::LimitReport,
    ) -> u32 {
        let known = self
            .peers
            .get(&source.address)
            .filter(|known| known.incarnation == source.incarnation)
            .filter(|known| known.requests <= report.requests);
        if let Some(known) = known {
            return if source.was_silent {
                0
            } else {
                report.requests - known.requests
            };
        }
        let counted_for = now.since(self.counted_from) + LEARNING_DELAY;
        if report.counted_for <= counted_for {
            report.requests
        } else {
            0
        }
    }

    /// Returns the report of this instance.
    pub(crate) fn report(&self, now: clock::Timestamp, server: u64) -> limit_report::LimitReport {
        let observation = limit_report::LimitObservation {
            rate: self.rate,
            age: now.since(self.observed_at),
        };
        limit_report::LimitReport {
            server,
            observation: Some(observation).filter(|_| self.is_own),
            requests: self.own_requests,
            counted_for: now.since(self.counted_from),
        }
    }
}
