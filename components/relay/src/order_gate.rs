//! Decides whether this instance may order engines to change stage.

use std::time;

/// Time for which this instance must have had rank 0 without an order of another instance.
const HOLD_OFF: time::Duration = time::Duration::from_secs(5);

/// Difference between the elapsed monotonic and wall-clock times that indicates a suspended
/// machine.
const CLOCK_JUMP: time::Duration = time::Duration::from_millis(400);

/// State of the fleet for the decision on an order.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderContext {
    /// Rank of this instance among those that are alive.
    pub rank: usize,
    /// Alive instances, including this one.
    pub live: u32,
    /// Known instances, including this one.
    pub known: u32,
    /// Shortest time without state updates among known instances that are not alive.
    pub silent_for: Option<time::Duration>,
    /// Time since the last known order of another instance.
    pub other_order_age: Option<time::Duration>,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub wall_millis: u64,
}

/// Decides whether this instance may order engines to change stage.
///
/// Only one instance gives orders at a time: that of rank 0, while a majority of the known
/// instances is alive and no instance stopped sending state updates within the hold-off time. After
/// a suspension of the machine the monotonic and the wall clock differ, and the hold-off time
/// starts again.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderGate {
    eligible_since: Option<clock::Timestamp>,
    /// Monotonic and wall-clock time of the last check.
    last_check: Option<(clock::Timestamp, u64)>,
}

impl OrderGate {
    /// Returns whether an order may be sent now. Must be called several times a second, since the
    /// clocks are compared between calls.
    pub fn allows(&mut self, now: clock::Timestamp, context: &OrderContext) -> bool {
        let jumped = self.clock_jumped(now, context.wall_millis);
        self.last_check = Some((now, context.wall_millis));
        let has_majority = context.live * 2 > context.known;
        if jumped || context.rank != 0 || !has_majority {
            self.eligible_since = None;
            return false;
        }
        let since = *self.eligible_since.get_or_insert(now);
        let silence_passed = context.silent_for.is_none_or(|silence| silence >= HOLD_OFF);
        let other_orders_passed = context.other_order_age.is_none_or(|age| age >= HOLD_OFF);
        now.since(since) >= HOLD_OFF && silence_passed && other_orders_passed
    }

    /// Returns whether the two clocks advanced by different times since the last check, or whether
    /// this is the first check.
    fn clock_jumped(&self, now: clock::Timestamp, wall_millis: u64) -> bool {
        let Some((checked_at, wall_before)) = self.last_check else {
            return true;
        };
        let monotonic = now.since(checked_at);
        let wall = time::Duration::from_millis(wall_millis.saturating_sub(wall_before));
        wall.abs_diff(monotonic) > CLOCK_JUMP
    }
}
