//! Tests of the whole control core without a runtime.

mod common;
mod determinism;
