//! Limit of one workspace and what is drawn on it.

use std::time;

use rand::RngExt as _;

use crate::{fleet_contact, limit_refusal};

/// Time after which an overdrawn limit has units again, at the most.
const MAX_DEBT_TIME: time::Duration = time::Duration::from_secs(8);

/// Longest time after which a caller is told to return.
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_secs(30);

/// Part of the time to wait over which returns are spread.
const RETRY_SPREAD: f64 = 0.25;

/// Shortest time over which returns are spread.
const MIN_SPREAD: time::Duration = time::Duration::from_millis(50);

/// Limit of one workspace and what is drawn on it.
#[derive(Clone, Debug)]
pub(crate) struct WorkspaceBudget {
    pub(crate) name: ids::WorkspaceName,
    pub(crate) limit: workspace::TokenLimit,
    pub(crate) shared: budget::SharedBudget,
    /// Time of this instance's last charge, refusal or return.
    pub(crate) changed_at: Option<clock::Timestamp>,
    /// Whether the count has changed since this instance last told the others.
    pub(crate) is_unsent: bool,
    /// Time from which no configuration in force has named the limit.
    pub(crate) unlisted_since: Option<clock::Timestamp>,
}

impl WorkspaceBudget {
    /// Creates the budget of a workspace. It is full if `is_unused`: nobody has drawn on it.
    pub(crate) fn new(
        now: clock::Timestamp,
        name: ids::WorkspaceName,
        limit: workspace::TokenLimit,
        share: f64,
        is_unused: bool,
    ) -> Self {
        let rule = bucket_rule(&limit);
        Self {
            name,
            limit,
            shared: if is_unused {
                budget::SharedBudget::full(now, rule, share)
            } else {
                budget::SharedBudget::empty(now, rule, share)
            },
            changed_at: None,
            is_unsent: false,
            unlisted_since: None,
        }
    }

    /// Sets the limit in force.
    pub(crate) fn set_limit(&mut self, now: clock::Timestamp, limit: workspace::TokenLimit) {
        self.unlisted_since = None;
        if limit != self.limit {
            self.limit = limit;
            self.shared.set_rule(now, bucket_rule(&limit));
        }
    }

    /// Draws `units` if the limit allows it; returns whether it does.
    pub(crate) fn draw(&mut self, now: clock::Timestamp, units: u32) -> bool {
        self.shared.settle_absent(now);
        if !self.shared.allows(now, units) {
            return false;
        }
        self.shared.draw(now, units);
        self.changed_at = Some(now);
        true
    }

    /// Gives back `units`.
    pub(crate) fn give_back(&mut self, now: clock::Timestamp, units: u32) {
        self.shared.give_back(now, units);
        self.changed_at = Some(now);
    }

    /// Returns the refusal of a request of `units`. `settling` is the time until this process knows
    /// the spending of the fleet, if it doesn't yet.
    pub(crate) fn refuse(
        &mut self,
        now: clock::Timestamp,
        units: u32,
        settling: Option<time::Duration>,
        contact: &fleet_contact::FleetContact,
        random: &mut rand_chacha::ChaCha8Rng,
    ) -> limit_refusal::LimitRefusal {
        let wait = settling.map_or_else(
            || self.shared.wait(now, units),
            |settling| settling.saturating_add(self.shared.whole_wait(now, units)),
        );
        let wait = wait.min(MAX_RETRY_AFTER);
        let spread = wait.mul_f64(RETRY_SPREAD).max(MIN_SPREAD);
        let retry_after = wait + spread.mul_f64(random.random::<f64>());
        self.shared.book(now, units);
        self.changed_at = Some(now);
        limit_refusal::LimitRefusal {
            retry_after,
            units,
            rate: self.limit.rate,
            burst: self.limit.burst,
            left: self.shared.tokens(now),
            spending: self.shared.spending(now),
            share: self.shared.share(),
            known_age: contact.oldest,
        }
    }
}

/// Returns the rule of the bucket of a limit.
fn bucket_rule(limit: &workspace::TokenLimit) -> budget::BucketRule {
    budget::BucketRule {
        rate: limit.rate,
        capacity: limit.burst,
        max_debt: limit.rate * MAX_DEBT_TIME.as_secs_f64(),
    }
}
