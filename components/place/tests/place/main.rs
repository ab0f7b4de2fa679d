//! Tests of the cell owner: properties, failures, lease digests and cells.

mod cells;
mod common;
mod failures;
mod lease_digests;
mod properties;
