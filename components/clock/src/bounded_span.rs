//! Durations from computed numbers.

use std::time;

/// Longest duration that a computed number stands for, in seconds.
const MAX_SECONDS: f64 = 86_400.0;

/// Returns a duration of `millis` milliseconds, bounded to a day; zero if the number is negative or
/// isn't one.
#[must_use]
pub fn bounded_millis(millis: f64) -> time::Duration {
    let seconds = (millis / 1_000.0).clamp(0.0, MAX_SECONDS);
    // Only a value that isn't a number fails.
    time::Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
