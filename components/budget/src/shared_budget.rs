//! Copy of a budget that the instances of a fleet draw on together.
//!
//! While some instances are out of touch, the copy is split: the instances in touch use their share of
//! the tokens, of the rate and of the burst, and leave the rest to the others. What these report when
//! they return is taken from the rest. A debt is split in the same way.

use std::time;

use crate::{draw_ledger, token_bucket};

/// Time after the return of instances for which their draws are taken from what was left to them.
const RETURN_TIME: time::Duration = time::Duration::from_secs(1);

/// Time constant with which recent draws are forgotten.
const USE_MEMORY: time::Duration = time::Duration::from_secs(4);

/// Difference between the times at which two processes have the same configuration, or are started.
const START_DELAY: time::Duration = time::Duration::from_millis(250);

/// Longest time that a configuration takes to reach all processes.
const SPREAD_TIME: time::Duration = time::Duration::from_secs(5);

/// Longest time for which callers are told to stay away.
const MAX_BOOKED_TIME: time::Duration = time::Duration::from_secs(30);

/// Draws of the recent past.
#[derive(Clone, Copy, Debug, Default)]
struct RecentUse {
    units: f64,
    at: clock::Timestamp,
}

impl RecentUse {
    fn units(&self, now: clock::Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.units * (-age / USE_MEMORY.as_secs_f64()).exp()
    }

    fn add(&mut self, now: clock::Timestamp, units: f64) {
        self.units = (self.units(now) + units).max(0.0);
        self.at = self.at.max(now);
    }
}

/// Copy of a budget that the instances of a fleet draw on together.
#[derive(Clone, Debug)]
pub struct SharedBudget {
    /// Rule of the whole budget.
    rule: token_bucket::BucketRule,
    /// Share of the budget that the instances in touch use.
    share: f64,
    /// Part of the budget that the instances in touch draw on.
    bucket: token_bucket::TokenBucket,
    /// Tokens left to the instances that are out of touch, less what they have reported since.
    absent: f64,
    absent_at: clock::Timestamp,
    /// Time at which all instances were in touch again.
    whole_since: clock::Timestamp,
    ledger: draw_ledger::DrawLedger,
    /// Debt of callers who were told when to return; it is made good as they return.
    booked: token_bucket::TokenBucket,
    recent: RecentUse,
}

impl SharedBudget {
    /// Creates the copy of a process that knows no earlier draws, without tokens.
    #[must_use]
    pub fn empty(now: clock::Timestamp, rule: token_bucket::BucketRule, share: f64) -> Self {
        Self::with_ledger(now, rule, share, START_DELAY)
    }

    /// Creates the copy of a budget on which nobody has drawn before it was made known.
    #[must_use]
    pub fn full(now: clock::Timestamp, rule: token_bucket::BucketRule, share: f64) -> Self {
        let mut budget = Self::with_ledger(now, rule, share, SPREAD_TIME);
        budget.bucket.take(now, -rule.capacity);
        budget
    }

    fn with_ledger(
        now: clock::Timestamp,
        rule: token_bucket::BucketRule,
        share: f64,
        learning_delay: time::Duration,
    ) -> Self {
        Self {
            rule,
            share,
            bucket: token_bucket::TokenBucket::empty(now, rule.part(share)),
            absent: 0.0,
            absent_at: now,
            whole_since: now,
            ledger: draw_ledger::DrawLedger::new(now, learning_delay),
            booked: token_bucket::TokenBucket::empty(now, booked_rule(rule.part(share))),
            recent: RecentUse::default(),
        }
    }

    /// Returns the rule of the whole budget.
    #[must_use]
    pub const fn rule(&self) -> token_bucket::BucketRule {
        self.rule
    }

    /// Returns the share of the budget that the instances in touch use.
    #[must_use]
    pub const fn share(&self) -> f64 {
        self.share
    }

    /// Changes the rule of the whole budget. A debt keeps the time in which it is made good, as what
    /// was drawn under the former rule isn't owed under a lower one.
    pub fn set_rule(&mut self, now: clock::Timestamp, rule: token_bucket::BucketRule) {
        if rule == self.rule {
            return;
        }
        self.advance_absent(now);
        let factor = rule.rate / self.rule.rate.max(f64::EPSILON);
        if self.bucket.tokens(now) < 0.0 && factor < 1.0 {
            self.bucket.scale(now, factor);
        }
        self.absent = if self.absent < 0.0 && factor < 1.0 {
            self.absent * factor
        } else {
            self.absent
        };
        self.rule = rule;
        self.apply_rule(now);
    }

    /// Sets the share of the budget that the instances in touch use.
    pub fn set_share(&mut self, now: clock::Timestamp, share: f64) {
        if (share - self.share).abs() < f64::EPSILON {
            return;
        }
        self.advance_absent(now);
        if share < self.share {
            let kept = share / self.share;
            self.absent += self.bucket.tokens(now) * (1.0 - kept);
            self.bucket.scale(now, kept);
        }
        self.share = share;
        self.whole_since = now;
        self.apply_rule(now);
    }

    /// Returns the tokens that the instances in touch may draw now; negative when they have drawn too
    /// many.
    #[must_use]
    pub fn tokens(&self, now: clock::Timestamp) -> f64 {
        self.bucket.tokens(now)
    }

    /// Returns whether `units` may be drawn now. A budget whose capacity is smaller allows a draw when
    /// it is full.
    #[must_use]
    pub fn allows(&self, now: clock::Timestamp, units: u32) -> bool {
        self.bucket.tokens(now) >= self.needed(units)
    }

    /// Returns the time until the budget allows a draw of `units`, behind the callers who were told when
    /// to return.
    #[must_use]
    pub fn wait(&self, now: clock::Timestamp, units: u32) -> time::Duration {
        let ahead = -self.booked.tokens(now);
        self.bucket.wait(now, self.needed(units) + ahead)
    }

    /// Returns the time in which the whole budget collects `units` and what the callers need who were
    /// told when to return.
    #[must_use]
    pub fn whole_wait(&self, now: clock::Timestamp, units: u32) -> time::Duration {
        let whole = token_bucket::TokenBucket::empty(now, self.rule);
        whole.wait(now, f64::from(units) - self.booked.tokens(now))
    }

    /// Records that a caller was told when to return for a draw of `units`.
    pub fn book(&mut self, now: clock::Timestamp, units: u32) {
        self.ledger.book(now, units);
        self.booked.take(now, f64::from(units));
    }

    /// Draws `units` for this instance.
    pub fn draw(&mut self, now: clock::Timestamp, units: u32) {
        self.ledger.draw(now, units);
        self.bucket.take(now, f64::from(units));
        self.recent.add(now, f64::from(units));
    }

    /// Gives back `units` that this instance drew.
    pub fn give_back(&mut self, now: clock::Timestamp, units: u32) {
        self.ledger.give_back(units);
        self.bucket.take(now, -f64::from(units));
        self.recent.add(now, -f64::from(units));
    }

    /// Applies the count of another process. `has_returned` tells that its instance was out of touch
    /// until recently.
    pub fn apply_count(
        &mut self,
        now: clock::Timestamp,
        source: draw_ledger::DrawSource,
        count: draw_ledger::DrawCount,
        has_returned: bool,
    ) {
        let change = match self.ledger.record(now, source, count) {
            draw_ledger::NewDraws::Since(change) | draw_ledger::NewDraws::All(change) => change,
            draw_ledger::NewDraws::Unknown => draw_ledger::DrawChange::default(),
        };
        let draws = change.drawn as f64;
        self.recent.add(now, draws);
        self.booked.take(now, change.booked as f64);
        self.advance_absent(now);
        if has_returned {
            self.absent -= draws;
        } else {
            self.bucket.take(now, draws);
        }
    }

    /// Settles what the instances drew that were out of touch: what they overdrew is owed by all.
    pub fn settle_absent(&mut self, now: clock::Timestamp) {
        let is_whole = self.share >= 1.0 && now.since(self.whole_since) >= RETURN_TIME;
        if !is_whole || self.absent == 0.0 {
            return;
        }
        self.bucket.take(now, (-self.absent).max(0.0));
        self.absent = 0.0;
    }

    /// Returns the count of this process.
    #[must_use]
    pub fn count(&self, now: clock::Timestamp) -> draw_ledger::DrawCount {
        self.ledger.count(now)
    }

    /// Returns the tokens that all instances have drawn recently, a second, as far as this one knows.
    #[must_use]
    pub fn spending(&self, now: clock::Timestamp) -> f64 {
        self.recent.units(now) / USE_MEMORY.as_secs_f64()
    }

    fn needed(&self, units: u32) -> f64 {
        f64::from(units).min(self.bucket.rule().capacity)
    }

    fn apply_rule(&mut self, now: clock::Timestamp) {
        let rule = self.rule.part(self.share);
        self.bucket.set_rule(now, rule);
        self.booked.set_rule(now, booked_rule(rule));
    }

    /// Lets the part of the instances that are out of touch grow.
    fn advance_absent(&mut self, now: clock::Timestamp) {
        let elapsed = now.since(self.absent_at).as_secs_f64();
        self.absent += elapsed * self.rule.rate * (1.0 - self.share);
        self.absent_at = self.absent_at.max(now);
    }
}

/// Returns the rule by which the debt of callers is made good who were told when to return.
fn booked_rule(rule: token_bucket::BucketRule) -> token_bucket::BucketRule {
    token_bucket::BucketRule {
        rate: rule.rate,
        capacity: 0.0,
        max_debt: rule.rate * MAX_BOOKED_TIME.as_secs_f64(),
    }
}
