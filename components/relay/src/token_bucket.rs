//! Token bucket that bounds a rate.

use std::time;

/// Time in which an unused bucket collects its largest number of tokens.
const BURST_TIME: time::Duration = time::Duration::from_millis(500);

/// Time after which an overdrawn bucket has a token again, at the most.
const MAX_DEBT_TIME: time::Duration = time::Duration::from_secs(4);

/// Token bucket that bounds a rate. It may be overdrawn by requests that others have sent.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Tokens at `refilled_at`; negative when the bucket is overdrawn.
    tokens: f64,
    refilled_at: clock::Timestamp,
}

impl TokenBucket {
    /// Creates a bucket without tokens that collects `rate` tokens per second.
    #[must_use]
    pub const fn empty(now: clock::Timestamp, rate: f64) -> Self {
        Self {
            rate,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, now: clock::Timestamp, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Removes one token for each of `requests` requests, also beyond the last one.
    pub fn take(&mut self, now: clock::Timestamp, requests: u32) {
        self.refill(now);
        let floor = 1.0 - self.rate * MAX_DEBT_TIME.as_secs_f64();
        self.tokens = (self.tokens - f64::from(requests)).max(floor.min(0.0));
    }

    /// Returns the number of tokens, which is negative when the bucket is overdrawn.
    #[must_use]
    pub fn tokens(&self, now: clock::Timestamp) -> f64 {
        let collected = now.since(self.refilled_at).as_secs_f64() * self.rate;
        (self.tokens + collected).min(self.capacity())
    }

    /// Returns the time until the bucket has `tokens` tokens.
    #[must_use]
    pub fn wait(&self, now: clock::Timestamp, tokens: f64) -> time::Duration {
        let missing = tokens - self.tokens(now);
        if missing <= 0.0 {
            return time::Duration::ZERO;
        }
        let seconds = missing / self.rate.max(f64::EPSILON);
        time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
    }

    /// Returns the rate in tokens per second.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    fn capacity(&self) -> f64 {
        (self.rate * BURST_TIME.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: clock::Timestamp) {
        self.tokens = self.tokens(now);
        self.refilled_at = self.refilled_at.max(now);
    }
}
