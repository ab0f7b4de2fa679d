//! Rate limit that a server names, and the requests that all instances send there.

use std::time;

use crate::limit_report;

/// Smallest rate in requests per second. A server that names a smaller one, or zero, is sent a
/// request now and then, since only an answer tells that the limit has ended.
const MIN_RATE: f64 = 0.2;

/// Difference between the times at which two instances learn of the same limit.
const LEARNING_DELAY: time::Duration = time::Duration::from_millis(250);

/// Time in which an unused bucket collects its largest number of tokens.
const BURST_TIME: time::Duration = time::Duration::from_millis(500);

/// Time after which an overdrawn bucket has a token again, at the most.
const MAX_DEBT_TIME: time::Duration = time::Duration::from_secs(4);

/// Rate limit that a server names, and the requests that all instances send there.
#[derive(Clone, Debug)]
pub(crate) struct ServerLimit {
    /// Requests per second that the server named in the newest known answer.
    rate: Option<f64>,
    /// Time of that answer.
    observed_at: clock::Timestamp,
    /// Whether this instance received that answer.
    is_own: bool,
    /// Requests that each process has sent.
    ledger: budget::DrawLedger,
    bucket: budget::TokenBucket,
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
            ledger: budget::DrawLedger::new(now, LEARNING_DELAY),
            bucket: budget::TokenBucket::empty(now, bucket_rule(MIN_RATE)),
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
            self.bucket = budget::TokenBucket::empty(now, bucket_rule(rate));
        }
        before != rate
    }

    /// Sets the share of the limit that the instances in touch with this one use.
    pub(crate) fn set_share(&mut self, now: clock::Timestamp, share: f64) {
        if let Some(rate) = self.rate {
            self.bucket.set_rule(now, bucket_rule(rate * share));
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
        self.ledger.draw(now, 1);
        self.bucket.take(now, 1.0);
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
        let count = budget::DrawCount {
            drawn: report.requests,
            booked: 0,
            counted_for: report.counted_for,
        };
        let draws = self.ledger.record(now, source.draw_source(), count);
        self.bucket
            .take(now, counted_draws(draws, source.was_silent));
    }

    /// Returns the report of this instance.
    pub(crate) fn report(&self, now: clock::Timestamp, server: u64) -> limit_report::LimitReport {
        let observation = limit_report::LimitObservation {
            rate: self.rate,
            age: now.since(self.observed_at),
        };
        let count = self.ledger.count(now);
        limit_report::LimitReport {
            server,
            observation: Some(observation).filter(|_| self.is_own),
            requests: count.drawn,
            counted_for: count.counted_for,
        }
    }
}

/// Returns the rule of the bucket for a rate in requests per second.
fn bucket_rule(rate: f64) -> budget::BucketRule {
    let rate = rate.max(MIN_RATE);
    budget::BucketRule {
        rate,
        capacity: (rate * BURST_TIME.as_secs_f64()).max(1.0),
        max_debt: (rate * MAX_DEBT_TIME.as_secs_f64() - 1.0).max(0.0),
    }
}

/// Returns the requests of a report that count against the limit. Those of a process that was silent
/// were sent in an unknown time, and its share of the limit was left to it.
const fn counted_draws(draws: budget::NewDraws, was_silent: bool) -> f64 {
    match draws {
        budget::NewDraws::Since(draws) if !was_silent => draws.drawn as f64,
        budget::NewDraws::All(draws) => draws.drawn as f64,
        budget::NewDraws::Since(_) | budget::NewDraws::Unknown => 0.0,
    }
}
