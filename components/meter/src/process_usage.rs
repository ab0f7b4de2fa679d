//! Memory that the process uses.

use std::fs;

/// File in which the system tells the memory of this process.
const STATUS_FILE: &str = "/proc/self/status";

/// Line of the file that tells the resident memory, in kibibytes.
const RESIDENT_LINE: &str = "VmRSS:";

/// Returns the resident memory of the process in bytes, where the system tells it.
pub(crate) fn resident_bytes() -> Option<u64> {
    let text = fs::read_to_string(STATUS_FILE).ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_LINE))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1_024)
}
