//! Token bucket that bounds a rate.

use std::time;

/// What a bucket collects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketRule {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens that an unused bucket collects at the most.
    pub capacity: f64,
    /// Tokens by which a bucket may be overdrawn at the most.
    pub max_debt: f64,
}

impl BucketRule {
    /// Returns the rule of a part of the budget.
    #[must_use]
    pub fn part(&self, share: f64) -> Self {
        Self {
            rate: self.rate * share,
            capacity: self.capacity * share,
            max_debt: self.max_debt * share,
        }
    }
}

/// Token bucket that bounds a rate. It may be overdrawn by what others have drawn.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rule: BucketRule,
    /// Tokens at `refilled_at`; negative when the bucket is overdrawn.
    tokens: f64,
    refilled_at: clock::Timestamp,
}

impl TokenBucket {
    /// Creates a bucket without tokens.
    #[must_use]
    pub const fn empty(now: clock::Timestamp, rule: BucketRule) -> Self {
        Self {
            rule,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Returns the rule in force.
    #[must_use]
    pub const fn rule(&self) -> BucketRule {
        self.rule
    }

    /// Changes the rule from `now` on.
    pub fn set_rule(&mut self, now: clock::Timestamp, rule: BucketRule) {
        self.refill(now);
        self.rule = rule;
        self.bound();
    }

    /// Removes `tokens` tokens, also beyond the last one; a negative number gives tokens back.
    pub fn take(&mut self, now: clock::Timestamp, tokens: f64) {
        self.refill(now);
        self.tokens -= tokens;
        self.bound();
    }

    /// Multiplies the number of tokens, or the debt, by `factor`.
    pub fn scale(&mut self, now: clock::Timestamp, factor: f64) {
        self.refill(now);
        self.tokens *= factor;
    }

    /// Returns the number of tokens, which is negative when the bucket is overdrawn.
    #[must_use]
    pub fn tokens(&self, now: clock::Timestamp) -> f64 {
        let collected = now.since(self.refilled_at).as_secs_f64() * self.rule.rate;
        (self.tokens + collected).min(self.rule.capacity)
    }

    /// Returns the time until the bucket has `tokens` tokens.
    #[must_use]
    pub fn wait(&self, now: clock::Timestamp, tokens: f64) -> time::Duration {
        let missing = tokens - self.tokens(now);
        if missing <= 0.0 {
            return time::Duration::ZERO;
        }
        let seconds = missing / self.rule.rate.max(f64::EPSILON);
        time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
    }

    fn refill(&mut self, now: clock::Timestamp) {
        self.tokens = self.tokens(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn bound(&mut self) {
        let floor = -self.rule.max_debt;
        self.tokens = self.tokens.max(floor).min(self.rule.capacity);
    }
}
