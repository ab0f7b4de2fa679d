//! Tells a connection to end.

use std::{sync::atomic, task};

use futures_util::task as waking;

use crate::close_step;

/// Tells a connection to end, from any task.
#[derive(Default)]
pub(crate) struct ConnectionSignal {
    /// The [`CloseStep`] that was reached, or zero.
    step: atomic::AtomicU8,
    /// Whether an answer is whole and not yet known to be sent.
    has_unsent_answer: atomic::AtomicBool,
    reader: waking::AtomicWaker,
    writer: waking::AtomicWaker,
}

impl ConnectionSignal {
    /// Raises the step; steps are never taken back.
    pub(crate) fn raise(&self, step: close_step::CloseStep) {
        self.step.fetch_max(step as u8, atomic::Ordering::AcqRel);
        self.reader.wake();
        self.writer.wake();
    }

    /// Returns whether the connection has reached a step.
    pub(crate) fn has_reached(&self, step: close_step::CloseStep) -> bool {
        self.step.load(atomic::Ordering::Acquire) >= step as u8
    }

    /// Records that an answer is whole, which is to be sent.
    pub(crate) fn mark_unsent(&self) {
        self.has_unsent_answer
            .store(true, atomic::Ordering::Release);
    }

    /// Returns whether an answer was whole since the last call.
    pub(crate) fn take_unsent(&self) -> bool {
        self.has_unsent_answer.load(atomic::Ordering::Acquire)
            && self.has_unsent_answer.swap(false, atomic::Ordering::AcqRel)
    }

    /// Registers the task that reads, and returns whether the connection has reached a step.
    pub(crate) fn poll_reader(
        &self,
        context: &task::Context<'_>,
        step: close_step::CloseStep,
    ) -> bool {
        self.reader.register(context.waker());
        self.has_reached(step)
    }

    /// Registers the task that writes, and returns whether the connection has reached a step.
    pub(crate) fn poll_writer(
        &self,
        context: &task::Context<'_>,
        step: close_step::CloseStep,
    ) -> bool {
        self.writer.register(context.waker());
        self.has_reached(step)
    }
}
