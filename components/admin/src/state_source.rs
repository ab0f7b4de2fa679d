//! Where the server reads what it shows.

use crate::{engine_report, state_report};

/// Tells what an instance shows to operators; neither method waits.
pub trait StateSource: Send + Sync {
    /// Returns what is in force and what the instance does.
    fn state(&self) -> state_report::StateReport;

    /// Returns the engines in force, in the order of their names.
    fn engines(&self) -> Vec<engine_report::EngineReport>;
}
