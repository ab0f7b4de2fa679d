//! The clocks of the machine.

use std::time;

use crate::{clock_source, timestamp};

/// The clocks of the machine, monotonic since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: time::Instant,
}

impl SystemClock {
    /// Starts the clock now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: time::Instant::now(),
        }
    }
}

impl clock_source::ClockSource for SystemClock {
    fn now(&self) -> timestamp::Timestamp {
        timestamp::Timestamp::default() + self.start.elapsed()
    }

    fn wall_millis(&self) -> u64 {
        let since_epoch = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
    }
}
