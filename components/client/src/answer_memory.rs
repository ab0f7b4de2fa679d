//! Memory that answers of servers take while they are read.
//!
//! The load that this answers: a faulty server sends bytes without end in many answers at the same time.
//! Each answer is bounded, and all together are: what exceeds the limit is given up, while small answers
//! are never short of memory.

use std::{sync, sync::atomic, time};

/// Bytes of each answer that aren't counted, more than most answers have.
const FREE_BYTES: usize = 64 * 1024;

/// Limit without a setting, in bytes.
const DEFAULT_LIMIT: usize = 16 * 1024 * 1024;

/// Time within which an answer that was given up, since nobody reads it, frees its memory.
const RELIEF_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Memory that answers of servers take while they are read.
#[derive(Debug)]
pub struct AnswerMemory {
    limit_bytes: usize,
    used_bytes: atomic::AtomicUsize,
    /// Wakes answers that wait until others have freed their memory.
    freed: tokio::sync::Notify,
    /// Knows the connections on which callers take nothing of their answers.
    intake: Option<sync::Arc<intake::Intake>>,
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
            freed: tokio::sync::Notify::const_new(),
            intake: None,
        }
    }

    /// Gives up answers that callers don't read when there is no room for others.
    #[must_use]
    pub fn relieved_by(mut self, intake: sync::Arc<intake::Intake>) -> Self {
        self.intake = Some(intake);
        self
    }

    /// Returns the share of an answer, which is empty.
    #[must_use]
    pub fn share(self: &sync::Arc<Self>) -> AnswerShare {
        AnswerShare {
            memory: sync::Arc::clone(self),
            counted_bytes: 0,
        }
    }
}

/// Memory that one answer takes, until it is dropped.
#[derive(Debug)]
pub struct AnswerShare {
    memory: sync::Arc<AnswerMemory>,
    counted_bytes: usize,
}

impl AnswerShare {
    /// Sets the number of bytes that the answer holds.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` when large answers would exceed the limit together.
    pub fn hold(&mut self, bytes: usize) -> Result<(), border::BorderError> {
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

impl AnswerShare {
    /// Sets the number of bytes like [`Self::hold`]; gives up answers that nobody reads to make room.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` when large answers that callers read would exceed the limit together.
    async fn hold_relieved(&mut self, bytes: usize) -> Result<(), border::BorderError> {
        loop {
            let memory = sync::Arc::clone(&self.memory);
            // Created before the attempt, so that no notification after it is missed.
            let freed = memory.freed.notified();
            let result = self.hold(bytes);
            let intake = memory.intake.as_ref().filter(|_| result.is_err());
            if !intake.is_some_and(|intake| intake.end_unread_answer()) {
                return result;
            }
            if tokio::time::timeout(RELIEF_TIMEOUT, freed).await.is_err() {
                return result;
            }
        }
    }
}

impl Drop for AnswerShare {
    fn drop(&mut self) {
        let used = &self.memory.used_bytes;
        used.fetch_sub(self.counted_bytes, atomic::Ordering::Relaxed);
        if self.counted_bytes > 0 {
            self.memory.freed.notify_waiters();
        }
    }
}

/// Bytes of an answer, with the memory that they take.
#[derive(Debug)]
pub struct HeldAnswer {
    bytes: bytes::BytesMut,
    share: AnswerShare,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldAnswer {
    /// Creates an answer without bytes.
    #[must_use]
    pub fn new(share: AnswerShare) -> Self {
        Self {
            bytes: bytes::BytesMut::new(),
            share,
        }
    }

    /// Returns the number of bytes so far.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` when large answers that callers read would exceed the limit together.
    pub async fn push(&mut self, chunk: &[u8]) -> Result<(), border::BorderError> {
        self.share
            .hold_relieved(self.bytes.len() + chunk.len())
            .await?;
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the bytes, which take memory until the last copy is dropped.
    #[must_use]
    pub fn freeze(self) -> bytes::Bytes {
        if self.share.counted_bytes == 0 {
            return self.bytes.freeze();
        }
        bytes::Bytes::from_owner(self)
    }
}
