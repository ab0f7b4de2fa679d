//! A body that grows as its pieces arrive.

use crate::{intake_error, request_share};

/// Part of its capacity by which a body grows at least, as a divisor.
const GROWTH_DIVISOR: usize = 2;

/// Part of a body's capacity that may stay unused when it is whole, as a divisor.
const SPARE_DIVISOR: usize = 8;

/// A body that grows as its pieces arrive. All its capacity is counted, and no piece keeps the buffer
/// alive from which it was read.
pub(crate) struct BodyBuffer {
    bytes: Vec<u8>,
    limit_bytes: usize,
    /// Capacity that is counted.
    counted_bytes: usize,
}

impl BodyBuffer {
    pub(crate) const fn new(limit_bytes: usize) -> Self {
        Self {
            bytes: Vec::new(),
            limit_bytes,
            counted_bytes: 0,
        }
    }

    /// Appends a piece.
    ///
    /// # Errors
    ///
    /// Returns `TooLarge` beyond the limit, and `NoRoom` if there is no memory for it.
    pub(crate) async fn push(
        &mut self,
        share: &mut request_share::RequestShare,
        piece: &[u8],
    ) -> Result<(), intake_error::IntakeError> {
        let needed = self.bytes.len() + piece.len();
        if needed > self.limit_bytes {
            return Err(intake_error::IntakeError::TooLarge);
        }
        if needed > self.counted_bytes {
            let grown = self.counted_bytes + self.counted_bytes / GROWTH_DIVISOR;
            let capacity = grown.clamp(needed, self.limit_bytes);
            share.grow(capacity - self.counted_bytes).await?;
            self.counted_bytes = capacity;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Returns the whole body.
    pub(crate) fn finish(mut self, share: &mut request_share::RequestShare) -> bytes::Bytes {
        let spare = self.counted_bytes - self.bytes.len();
        if spare > self.bytes.len() / SPARE_DIVISOR {
            self.bytes.shrink_to_fit();
            share.shrink(spare);
        }
        self.bytes.into()
    }
}
