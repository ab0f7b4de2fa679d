//! Retries as a share of the traffic.

/// Retries earned by one first attempt.
const RETRY_SHARE: f64 = 0.1;

/// Most retries that may be saved up.
const SAVED_LIMIT: f64 = 20.0;

/// Limits the retries of one service to a share of its first attempts.
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
        self.saved = (self.saved + RETRY_SHARE).min(SAVED_LIMIT);
    }

    /// Takes a retry from the budget; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        let granted = self.saved >= 1.0;
        if granted {
            self.saved -= 1.0;
        }
        granted
    }
}
