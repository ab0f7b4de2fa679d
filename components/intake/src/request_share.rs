//! The memory that one request holds.

use crate::{connection_slot, intake_error};

/// The memory that one request holds, until it is dropped.
#[derive(Debug)]
pub struct RequestShare {
    slot: connection_slot::ConnectionSlot,
    bytes: usize,
    is_served: bool,
}

impl RequestShare {
    pub(crate) const fn new(slot: connection_slot::ConnectionSlot) -> Self {
        Self {
            slot,
            bytes: 0,
            is_served: false,
        }
    }

    pub(crate) const fn slot(&self) -> &connection_slot::ConnectionSlot {
        &self.slot
    }

    /// Counts more bytes; waits until others have freed theirs if need be.
    ///
    /// # Errors
    ///
    /// Returns `NoRoom` if there is no memory for the request.
    pub(crate) async fn grow(&mut self, bytes: usize) -> Result<(), intake_error::IntakeError> {
        self.slot.intake().grow(&self.slot, bytes).await?;
        self.bytes += bytes;
        Ok(())
    }

    /// Takes back bytes that aren't used.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        self.slot.intake().shrink(self.slot.key(), bytes);
        self.bytes -= bytes;
    }

    /// Records that the request is whole, so that it keeps its memory and may be served.
    ///
    /// # Errors
    ///
    /// Returns `NoRoom` if the request was given up before, or the requests under way leave no memory to
    /// serve it.
    pub(crate) async fn complete(&mut self) -> Result<(), intake_error::IntakeError> {
        self.slot.intake().serve(&self.slot).await?;
        self.is_served = true;
        Ok(())
    }
}

impl Drop for RequestShare {
    fn drop(&mut self) {
        let intake = self.slot.intake();
        if self.is_served {
            intake.end_serving(self.slot.key());
        }
        intake.shrink(self.slot.key(), self.bytes);
    }
}
