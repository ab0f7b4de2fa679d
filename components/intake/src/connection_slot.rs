//! The place of one connection.

use std::{fmt, sync, task};

use crate::{
    close_step, connection_phase, connection_signal, connection_table, intake_error, request_share,
    shared_intake,
};

/// The place of one connection in an intake; the connection is removed when the last copy is dropped.
#[derive(Clone)]
pub struct ConnectionSlot {
    inner: sync::Arc<SlotInner>,
}

impl fmt::Debug for ConnectionSlot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_tuple("ConnectionSlot")
            .field(&self.inner.key)
            .finish()
    }
}

struct SlotInner {
    intake: sync::Arc<shared_intake::Intake>,
    key: connection_table::ConnectionKey,
    signal: sync::Arc<connection_signal::ConnectionSignal>,
}

impl Drop for SlotInner {
    fn drop(&mut self) {
        self.intake.remove(self.key);
    }
}

impl ConnectionSlot {
    pub(crate) fn new(
        intake: sync::Arc<shared_intake::Intake>,
        key: connection_table::ConnectionKey,
        signal: sync::Arc<connection_signal::ConnectionSignal>,
    ) -> Self {
        let inner = SlotInner {
            intake,
            key,
            signal,
        };
        Self {
            inner: sync::Arc::new(inner),
        }
    }

    /// Begins a request whose head takes `head_bytes`; its body is to be read. A connection whose
    /// request is refused ends after the answer.
    ///
    /// # Errors
    ///
    /// Returns `NoRoom` if there is no memory for the request.
    pub async fn begin_request(
        &self,
        head_bytes: usize,
    ) -> Result<request_share::RequestShare, intake_error::IntakeError> {
        self.set_phase(connection_phase::ConnectionPhase::Reading);
        let mut share = request_share::RequestShare::new(self.clone());
        let grown = share.grow(head_bytes).await;
        grown.inspect_err(|error| {
            self.inner.intake.counts().refuse_body(*error);
            self.refuse();
        })?;
        Ok(share)
    }

    /// Sets the phase of the connection; returns whether the connection goes on.
    pub fn set_phase(&self, phase: connection_phase::ConnectionPhase) -> bool {
        self.inner.intake.set_phase(self.inner.key, phase)
    }

    /// Begins an answer of a number of bytes.
    pub(crate) fn begin_answer(&self, bytes: usize) {
        self.inner.intake.begin_answer(self.inner.key, bytes);
    }

    /// Records that an answer is whole; its bytes count until they are sent.
    pub(crate) fn end_answer(&self) {
        self.set_phase(connection_phase::ConnectionPhase::Waiting);
        self.inner.signal.mark_unsent();
    }

    /// Records that all that was to be sent is sent.
    pub(crate) fn record_flush(&self) {
        if self.inner.signal.take_unsent() {
            self.inner.intake.finish_answers(self.inner.key);
        }
    }

    /// Returns the intake.
    #[must_use]
    pub fn intake(&self) -> &sync::Arc<shared_intake::Intake> {
        &self.inner.intake
    }

    pub(crate) fn key(&self) -> connection_table::ConnectionKey {
        self.inner.key
    }

    pub(crate) fn signal(&self) -> &connection_signal::ConnectionSignal {
        &self.inner.signal
    }

    /// Waits until the connection is given up.
    pub(crate) async fn given_up(&self) {
        let signal = &self.inner.signal;
        std::future::poll_fn(|context| {
            if signal.poll_reader(context, close_step::CloseStep::Refuse) {
                task::Poll::Ready(())
            } else {
                task::Poll::Pending
            }
        })
        .await;
    }

    /// Returns whether the connection ends after its answer at the latest.
    #[must_use]
    pub fn is_ending(&self) -> bool {
        self.inner.signal.has_reached(close_step::CloseStep::Refuse)
    }

    /// Returns a place for the wait until a refused client ends; `None` if the connection wasn't refused
    /// or too many wait already.
    pub(crate) fn begin_linger(&self) -> Option<tokio::sync::OwnedSemaphorePermit> {
        if !self.is_ending() {
            return None;
        }
        let lingering = sync::Arc::clone(&self.inner.intake.lingering);
        lingering.try_acquire_owned().ok()
    }

    /// Ends the connection after the answer, since its request isn't read to the end.
    pub fn refuse(&self) {
        self.inner.intake.end(self.inner.key);
        self.inner.signal.raise(close_step::CloseStep::Refuse);
    }
}
