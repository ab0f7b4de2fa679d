//! Notices when a caller goes away.

use std::sync;

use crate::{entry_context, load_gate};

/// Held as long as a caller waits; dropped before the end, it cancels the request.
pub(crate) struct CallerGuard {
    context: sync::Arc<entry_context::EntryContext>,
    request: ids::RequestId,
    ended: bool,
    _ticket: load_gate::LoadTicket,
    _share: intake::RequestShare,
}

impl CallerGuard {
    /// Makes the guard of a registered request.
    pub(crate) fn new(
        context: sync::Arc<entry_context::EntryContext>,
        request: ids::RequestId,
        ticket: load_gate::LoadTicket,
        share: intake::RequestShare,
    ) -> Self {
        Self {
            context,
            request,
            ended: false,
            _ticket: ticket,
            _share: share,
        }
    }

    /// Notes that the core has ended the request.
    pub(crate) const fn end(&mut self) {
        self.ended = true;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        let book = &self.context.book;
        if let Some(session) = book.remove_answer(self.request) {
            session.stop_pump();
        }
        book.remove_call(self.request);
        if !self.ended {
            self.context.port.caller_gone(self.request);
        }
    }
}
