//! Tests of the state machine of model requests, without I/O.

#![expect(clippy::unwrap_used, reason = "A broken fixture must fail its test.")]

mod common;
mod failures;
mod properties;
