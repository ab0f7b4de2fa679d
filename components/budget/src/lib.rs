//! Budgets that all instances of a fleet draw on together, without I/O and without a clock of their own.
//!
//! Each instance keeps a copy of a token bucket, counts what it draws and learns from the others what
//! they draw. Limits of backend servers and of workspaces are such budgets.

#![forbid(unsafe_code)]

mod draw_ledger;
mod shared_budget;
mod token_bucket;

pub use draw_ledger::{DrawChange, DrawCount, DrawLedger, DrawSource, NewDraws};
pub use shared_budget::SharedBudget;
pub use token_bucket::{BucketRule, TokenBucket};
