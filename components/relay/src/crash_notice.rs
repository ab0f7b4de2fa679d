//! What an instance tells the others of requests that crash servers.

use std::time;

use crate::crash_report;

/// What an instance knows of requests that crash servers, sent in its state updates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashNotice {
    /// Crashes that the instance has seen itself.
    pub reports: Vec<crash_report::CrashReport>,
    /// Suspects in requests that the instance has seen answered since.
    pub cleared: Vec<u64>,
    /// Suspects in quarantine, with the remaining time.
    pub quarantined: Vec<(u64, time::Duration)>,
}
