//! Report of the software version that began a stream.

use std::time;

use crate::software_key;

/// Report of the software version that began a stream, sent in state updates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OriginReport {
    /// Hash of the caller's attempt that began the stream, from [`stream_hash`].
    pub stream: u64,
    /// Software version of the engine.
    pub software: software_key::SoftwareKey,
    /// Time for which the caller may still take the stream up.
    pub remaining: time::Duration,
}

/// Returns the hash that identifies a stream by the id of the caller's attempt that began it.
#[must_use]
pub fn stream_hash(attempt: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(attempt.as_bytes())
}
