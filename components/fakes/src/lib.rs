//! Stand-ins for the systems outside, for tests and the demo.

pub mod engine_model;
