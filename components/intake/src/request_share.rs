//! The memory that one request holds.

use crate::{connection_phase::ConnectionPhase, connection_slot, intake_error};

/// The memory that one request holds, until it is dropped.
#[derive(Debug)]
pub struct RequestShare {
    slot: connection_slot::ConnectionSlot,
    bytes: usize,
}

impl RequestShare {
    pub(crate) const fn new(slot: connection_slot::ConnectionSlot) -> Self {
        Self { slot, bytes: 0 }
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

    /// Records that the request is whole, so that it keeps its memory.
    ///
    /// # Errors
    ///
    /// Returns `NoRoom` if the request was given up before.
    pub(crate) fn complete(&self) -> Result<(), intake_error::IntakeError> {
        if self.slot.set_phase(ConnectionPhase::Serving) && !self.slot.is_ending() {
            return Ok(());
        }
        Err(intake_error::IntakeError::NoRoom)
    }
}

impl Drop for RequestShare {
    fn drop(&mut self) {
        self.slot.intake().shrink(self.slot.key(), self.bytes);
    }
}
