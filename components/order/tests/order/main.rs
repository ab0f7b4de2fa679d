//! Tests of engine orders over the state machine alone.

#![expect(clippy::unwrap_used, reason = "A broken fixture is to fail its test.")]

mod common;
mod failures;
mod properties;
