//! Structured logs and traces.
