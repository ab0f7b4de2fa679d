//! The share of the traffic that may be repeats.

/// Repeats allowed for each first attempt.
const REPEAT_SHARE: f64 = 0.1;

/// Repeats that may be saved up.
const SAVED_LIMIT: f64 = 20.0;

/// The share of the traffic that may be repeats.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: SAVED_LIMIT }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + REPEAT_SHARE).min(SAVED_LIMIT);
    }

    /// Takes a repeat out of the budget; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
