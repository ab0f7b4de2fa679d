//! Count that decays exponentially.

use std::time;

/// Time in which a count decays by a factor of e.
const DECAY_TIME: time::Duration = time::Duration::from_secs(4);

/// Count that decays exponentially. The sum of several counts decays as they do, whenever each of them was
/// last changed, so that instances need no common clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedCount {
    value: f64,
    /// Time at which the count had `value`.
    at: clock::Timestamp,
}

impl DecayedCount {
    /// Creates a count.
    pub(crate) const fn new(now: clock::Timestamp, value: f64) -> Self {
        Self { value, at: now }
    }

    /// Returns the count at `now`.
    pub(crate) fn value(&self, now: clock::Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.value * (-age).exp()
    }

    /// Adds to the count.
    pub(crate) fn add(&mut self, now: clock::Timestamp, value: f64) {
        *self = Self::new(now, self.value(now) + value);
    }
}
