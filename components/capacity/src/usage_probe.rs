//! Processor time of this thread and memory of this process.

use std::{fs, time};

use crate::load_error;

/// File that begins with the nanoseconds this thread has run.
const THREAD_TIME: &str = "/proc/thread-self/schedstat";

/// Counts the memory that this process has allocated.
#[global_allocator]
static ALLOCATOR: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

/// Bytes of a kilobyte.
const KILOBYTE: u64 = 1_024;

/// Returns the processor time that this thread has used.
pub(crate) fn thread_time() -> Result<time::Duration, load_error::LoadError> {
    first_number(THREAD_TIME).map(time::Duration::from_nanos)
}

/// Returns the memory that this process has allocated, in kilobytes.
pub(crate) fn held_kilobytes() -> u64 {
    u64::try_from(ALLOCATOR.current_usage()).unwrap_or(u64::MAX) / KILOBYTE
}

/// Runs `work` and returns the processor time of one of `units`, in microseconds.
pub(crate) fn unit_micros(units: u32, work: impl FnOnce()) -> Result<f64, load_error::LoadError> {
    let before = thread_time()?;
    work();
    let spent = thread_time()?.saturating_sub(before);
    Ok(spent.as_secs_f64() * 1e6 / f64::from(units))
}

fn first_number(path: &'static str) -> Result<u64, load_error::LoadError> {
    fs::read_to_string(path)
        .ok()
        .and_then(|text| text.split_whitespace().next()?.parse().ok())
        .ok_or(load_error::LoadError::Usage { path })
}
