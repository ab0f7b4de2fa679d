//! What an instance tells the others of segments that crash engines.

use std::time;

use crate::crash_report;

/// What an instance knows of segments that crash engines, sent in its state updates.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashNotice {
    /// Crashes that the instance has seen itself.
    pub reports: Vec<crash_report::CrashReport>,
    /// Suspected segments of prompts that the instance has seen answered since.
    pub cleared: Vec<u64>,
    /// Quarantined segments, with the remaining time.
    pub quarantined: Vec<(u64, time::Duration)>,
}
