//! Fault of a process of the site.

use std::time;

/// Time after a fault from which the site is stable again.
pub const STABLE_TIME: time::Duration = time::Duration::from_secs(3);

/// Kill, freeze or signal of a process.
pub struct ProcessFault {
    /// Index of the process.
    pub process: usize,
    pub started: time::Instant,
    pub ended: time::Instant,
}

impl ProcessFault {
    /// Returns whether the fault may still have an effect.
    pub fn disturbs(&self, at: time::Instant) -> bool {
        (self.started..self.ended + STABLE_TIME).contains(&at)
    }
}
