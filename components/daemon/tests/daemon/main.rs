//! An instance among stand-ins on loopback.

#![expect(clippy::unwrap_used, reason = "fixtures may panic")]

mod bad_input;
mod common;
mod graceful_drain;
mod lost_engines;
mod reading_back;
mod silent_connections;
mod whole_path;
