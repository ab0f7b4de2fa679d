//! Bounds on retries: a budget earned by first attempts, and a share of the requests in a sliding
//! window.

mod retry_budget;
mod retry_window;

pub use retry_budget::RetryBudget;
pub use retry_window::{FleetCount, RetryBound, RetryCount, RetryWindow};
