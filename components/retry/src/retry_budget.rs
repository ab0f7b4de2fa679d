//! Retry budget as a share of the first attempts.

/// Number of retries earned by one first attempt.
const RETRIES_PER_ATTEMPT: f64 = 0.1;

/// Largest number of retries in the budget, which is also its initial value.
const MAX_BALANCE: f64 = 20.0;

/// Limits the retries of one service to a share of its first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Adds the share of one first attempt to the budget.
    pub fn earn(&mut self) {
        self.balance = (self.balance + RETRIES_PER_ATTEMPT).min(MAX_BALANCE);
    }

    /// Removes one retry from the budget; returns whether the budget contained one.
    pub fn spend(&mut self) -> bool {
        let granted = self.balance >= 1.0;
        if granted {
            self.balance -= 1.0;
        }
        granted
    }
}
