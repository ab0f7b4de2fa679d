//! Reports of servers that crashed under a request.

/// Crash of a server under a request, as a suspicion of one of the causes that the request may
/// contain.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CrashReport {
    /// Suspected cause: a segment of the prompt from [`segment_hash`], or a hash of
    /// [`crate::RequestIdentity`].
    pub suspect: u64,
    /// Request and server of the crash.
    pub source: CrashSource,
}

impl CrashReport {
    /// Returns whether the whole request is the suspect, rather than a part that different requests
    /// share.
    #[must_use]
    pub const fn is_whole_request(&self) -> bool {
        self.suspect == self.source.request
    }
}

/// Request under which a server crashed.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CrashSource {
    /// Hash of the request of [`crate::RequestIdentity`].
    pub request: u64,
    /// Incarnation of the server, by [`crate::incarnation_hash`]; 0 from instances that don't send
    /// it.
    pub server: u64,
}

/// Returns the hash that identifies a segment of a prompt in state updates.
#[must_use]
pub fn segment_hash(segment: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(segment.as_bytes())
}
