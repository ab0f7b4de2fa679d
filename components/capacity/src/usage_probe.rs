//! Processor time of this thread and memory of this process.

use std::{fs, time};

use crate::load_error;

/// File that begins with the nanoseconds this thread has run.
const THREAD_TIME: &str = "/proc/thread-self/schedstat";

/// File whose second number is the resident pages of this process.
const PROCESS_PAGES: &str = "/proc/self/statm";

/// Size of a page, in kilobytes.
const PAGE_KILOBYTES: u64 = 4;

/// Returns the processor time that this thread has used.
pub(crate) fn thread_time() -> Result<time::Duration, load_error::LoadError> {
    number(THREAD_TIME, 0).map(time::Duration::from_nanos)
}

/// Returns the memory that this process holds, in kilobytes.
pub(crate) fn resident_kilobytes() -> Result<u64, load_error::LoadError> {
    number(PROCESS_PAGES, 1).map(|pages| pages * PAGE_KILOBYTES)
}

/// Runs `work` and returns the processor time of one of `units`, in microseconds.
pub(crate) fn unit_micros(units: u32, work: impl FnOnce()) -> Result<f64, load_error::LoadError> {
    let before = thread_time()?;
    work();
    let spent = thread_time()?.saturating_sub(before);
    Ok(spent.as_secs_f64() * 1e6 / f64::from(units))
}

fn number(path: &'static str, index: usize) -> Result<u64, load_error::LoadError> {
    fs::read_to_string(path)
        .ok()
        .and_then(|text| text.split_whitespace().nth(index)?.parse().ok())
        .ok_or(load_error::LoadError::Usage { path })
}
