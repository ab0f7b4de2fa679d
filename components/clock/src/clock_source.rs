//! The border through which drivers read time.

use crate::timestamp;

/// Reads the clocks of the machine.
pub trait ClockSource: Send + Sync {
    /// Returns the monotonic time since a fixed start.
    fn now(&self) -> timestamp::Timestamp;

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    fn wall_millis(&self) -> u64;
}
