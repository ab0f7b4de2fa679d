//! Memory that answers of servers take while they are read.
//!
//! The load that this answers: a faulty server sends bytes without end in many answers at the same time.
//! Each answer is bounded, and all together are: what exceeds the limit is given up, while small answers
//! are never short of memory.

use std::{sync, sync::atomic};

/// Bytes of each answer that aren't counted, more than most answers have.
const FREE_BYTES: usize = 64 * 1024;

/// Limit without a setting, in bytes.
const DEFAULT_LIMIT: usize = 16 * 1024 * 1024;

/// Memory that answers of servers take while they are read.
#[derive(Debug)]
pub struct AnswerMemory {
    limit_bytes: usize,
    used_bytes: atomic::AtomicUsize,
}

impl Default for AnswerMemory {
    fn default() -> Self {
        Self::new(DEFAULT_LIMIT)
    }
}

impl AnswerMemory {
    /// Creates a memory for large answers of `limit_bytes` together.
    #[must_use]
    pub const fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: atomic::AtomicUsize::new(0),
        }
    }

    /// Returns the share of an answer, which is empty.
    pub(crate) fn share(self: &sync::Arc<Self>) -> MemoryShare {
        MemoryShare {
            memory: sync::Arc::clone(self),
            counted_bytes: 0,
        }
    }
}

/// Memory that one answer takes, until it is dropped.
pub(crate) struct MemoryShare {
    memory: sync::Arc<AnswerMemory>,
    counted_bytes: usize,
}

impl MemoryShare {
    /// Sets the number of bytes that the answer holds.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` when large answers would exceed the limit together.
    pub(crate) fn hold(&mut self, bytes: usize) -> Result<(), border::BorderError> {
        let counted = bytes.saturating_sub(FREE_BYTES);
        let used = &self.memory.used_bytes;
        if let Some(added) = counted.checked_sub(self.counted_bytes) {
            let before = used.fetch_add(added, atomic::Ordering::Relaxed);
            if added > 0 && before + added > self.memory.limit_bytes {
                used.fetch_sub(added, atomic::Ordering::Relaxed);
                return Err(border::BorderError::Malformed {
                    detail: format!("the answers exceed {} bytes", self.memory.limit_bytes),
                });
            }
        } else {
            used.fetch_sub(self.counted_bytes - counted, atomic::Ordering::Relaxed);
        }
        self.counted_bytes = counted;
        Ok(())
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        let used = &self.memory.used_bytes;
        used.fetch_sub(self.counted_bytes, atomic::Ordering::Relaxed);
    }
}

/// Bytes of an answer, with the memory that they take.
pub(crate) struct HeldBytes {
    pub(crate) bytes: bytes::BytesMut,
    pub(crate) share: MemoryShare,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldBytes {
    pub(crate) fn new(share: MemoryShare) -> Self {
        Self {
            bytes: bytes::BytesMut::new(),
            share,
        }
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// The errors of [`MemoryShare::hold`].
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Result<(), border::BorderError> {
        self.share.hold(self.bytes.len() + chunk.len())?;
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the bytes, which take memory until the last copy is dropped.
    pub(crate) fn freeze(self) -> bytes::Bytes {
        if self.share.counted_bytes == 0 {
            return self.bytes.freeze();
        }
        bytes::Bytes::from_owner(self)
    }
}
