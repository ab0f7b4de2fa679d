//! Whether this instance may give orders to engines.

use std::time;

/// Time for which this instance must have had the first rank, and no other one have ordered.
const HOLD_OFF: time::Duration = time::Duration::from_secs(5);

/// Difference between the steady clock and the time of day that shows a pause of the machine.
const CLOCK_SLIP: time::Duration = time::Duration::from_millis(400);

/// What an instance knows of the others when it is about to order.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderView {
    /// Rank of this instance among those that live.
    pub rank: usize,
    /// Instances that live, this one included.
    pub live: u32,
    /// Instances known, this one included.
    pub known: u32,
    /// Time since the last instance fell silent that is still known.
    pub silent_for: Option<time::Duration>,
    /// Time since another instance ordered, as far as known.
    pub other_order_age: Option<time::Duration>,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub wall_millis: u64,
}

/// Decides whether this instance may give orders to engines.
///
/// One instance orders at a time: the first in rank, and only with a majority of the instances it
/// knows, once those that fell silent have been so for long. An instance that was paused finds
/// that its clocks have slipped and waits again.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrderGate {
    first_since: Option<clock::Timestamp>,
    /// Steady and wall-clock time at the last look.
    last_look: Option<(clock::Timestamp, u64)>,
}

impl OrderGate {
    /// Returns whether an order may leave now; to be asked several times a second.
    pub fn allows(&mut self, now: clock::Timestamp, view: &OrderView) -> bool {
        let slipped = self.has_slipped(now, view.wall_millis);
        self.last_look = Some((now, view.wall_millis));
        let has_majority = view.live * 2 > view.known;
        if slipped || view.rank != 0 || !has_majority {
            self.first_since = None;
            return false;
        }
        let since = *self.first_since.get_or_insert(now);
        let silence_is_old = view.silent_for.is_none_or(|silent| silent >= HOLD_OFF);
        let others_rest = view.other_order_age.is_none_or(|age| age >= HOLD_OFF);
        now.since(since) >= HOLD_OFF && silence_is_old && others_rest
    }

    fn has_slipped(&self, now: clock::Timestamp, wall_millis: u64) -> bool {
        let Some((looked_at, wall_before)) = self.last_look else {
            return true;
        };
        let steady = now.since(looked_at);
        let wall = time::Duration::from_millis(wall_millis.saturating_sub(wall_before));
        wall.abs_diff(steady) > CLOCK_SLIP
    }
}
