//! A clock for tests that follows tokio's, which may be paused.

use std::time;

/// Wall-clock time at the start of the clock, in milliseconds since the Unix epoch.
const START_WALL_MILLIS: u64 = 1_700_000_000_000;

/// A clock that follows tokio's, which may be paused.
#[derive(Clone, Copy, Debug)]
pub struct StandClock {
    start: tokio::time::Instant,
}

impl StandClock {
    /// Starts the clock now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }

    /// Returns the instant of a moment, capped far in the future.
    #[must_use]
    pub fn instant(&self, moment: clock::Timestamp) -> tokio::time::Instant {
        const FAR: time::Duration = time::Duration::from_secs(24 * 60 * 60);
        let span = moment.since(clock::Timestamp::default()).min(FAR);
        self.start + span
    }
}

impl clock::ClockSource for StandClock {
    fn now(&self) -> clock::Timestamp {
        clock::Timestamp::default() + self.start.elapsed()
    }

    fn wall_millis(&self) -> u64 {
        let passed = self.start.elapsed().as_millis();
        START_WALL_MILLIS + u64::try_from(passed).unwrap_or(u64::MAX)
    }
}
