//! Tests of the complete control core without an async runtime.

mod common;
mod determinism;
