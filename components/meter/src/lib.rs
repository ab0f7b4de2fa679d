//! Metrics of an instance.
