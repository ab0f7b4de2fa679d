//! Runs an instance: drives the control core and carries out what it decides.
//!
//! One thread with a single-threaded runtime holds the core; a multi-threaded runtime carries the
//! traffic of callers, engines and services. They meet in one queue of events and in immutable
//! snapshots.

mod action_runner;
mod address_book;
mod admin_source;
mod answer_clock;
mod border_set;
mod control_loop;
mod core_meter;
#[cfg(test)]
mod core_meter_tests;
mod core_port;
mod daemon;
mod daemon_error;
mod daemon_handle;
mod daemon_options;
mod engine_count;
mod hop_span;
mod instance_snapshot;
mod intake_watch;
mod outage_log;
mod peer_port;
mod placement_spans;
mod token_pump;

pub use border_set::BorderSet;
pub use clock::SystemClock;
pub use daemon::Daemon;
pub use daemon_error::DaemonError;
pub use daemon_handle::DaemonHandle;
pub use daemon_options::DaemonOptions;
pub use engine_count::EngineCount;
pub use instance_snapshot::InstanceSnapshot;
