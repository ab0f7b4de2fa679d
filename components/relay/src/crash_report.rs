//! Reports of engines that crashed under a prompt.

/// Crash of an engine before the first event of an answer, as a suspicion of one segment of the
/// prompt.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CrashReport {
    /// Hash of the suspected segment from [`segment_hash`].
    pub segment: u64,
    /// Hash of the request from [`request_hash`].
    pub request: u64,
}

/// Returns the hash that identifies a segment of a prompt in state updates.
#[must_use]
pub fn segment_hash(segment: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(segment.as_bytes())
}

/// Returns the hash that identifies a request and its repetitions in state updates: the same for each
/// attempt of the same caller with the same content, whatever its id.
#[must_use]
pub fn request_hash<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        // The length keeps parts apart.
        hasher.update(&part.len().to_be_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
