//! Processor time of the calling thread.

use std::{fs, time};

/// File in which the system tells the time that a thread has run, in nanoseconds.
const SCHEDULE_FILE: &str = "/proc/thread-self/schedstat";

/// Returns the processor time that the calling thread has used, where the system tells it.
#[must_use]
pub fn thread_time() -> Option<time::Duration> {
    let text = fs::read_to_string(SCHEDULE_FILE).ok()?;
    let nanos = text.split_whitespace().next()?.parse().ok()?;
    Some(time::Duration::from_nanos(nanos))
}
