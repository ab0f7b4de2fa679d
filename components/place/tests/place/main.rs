//! Tests of placement as a whole: properties, failures and cells.

mod cells;
mod common;
mod failures;
mod holding;
mod properties;
