//! The body of an answer on a connection that has a place.

use std::{pin, task};

use crate::connection_slot;

/// The body of an answer; once it is taken or dropped, the connection waits for the next request.
pub struct AnsweringBody<B> {
    inner: B,
    slot: connection_slot::ConnectionSlot,
}

impl<B: http_body::Body> AnsweringBody<B> {
    /// Begins the answer on a connection. What the body announces counts until it is sent.
    pub fn new(inner: B, slot: connection_slot::ConnectionSlot) -> Self {
        let announced = inner.size_hint().lower();
        slot.begin_answer(usize::try_from(announced).unwrap_or(usize::MAX));
        Self { inner, slot }
    }
}

impl<B> Drop for AnsweringBody<B> {
    fn drop(&mut self) {
        self.slot.end_answer();
    }
}

impl<B: http_body::Body + Unpin> http_body::Body for AnsweringBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Self::Data>, Self::Error>>> {
        pin::Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.inner.size_hint()
    }
}
