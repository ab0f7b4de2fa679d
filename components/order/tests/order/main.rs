//! Tests of the state machine for engine orders.

#![expect(clippy::unwrap_used, reason = "a broken fixture must fail its test")]

mod common;
mod failures;
mod properties;
