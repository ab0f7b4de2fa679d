//! Spans of the placements that this instance waits for.

use std::collections;

/// Spans of the placements that this instance waits for, with the contexts to pass on.
#[derive(Default)]
pub(crate) struct PlacementSpans {
    open: collections::HashMap<ids::RequestId, (tracing::Span, border::TraceParent)>,
}

impl PlacementSpans {
    /// Begins the span of a request's placement.
    pub(crate) fn begin(&mut self, request: ids::RequestId, trace: border::TraceParent) {
        let span = tracing::info_span!("placement", %request);
        let own = logs::join_trace(&span, trace);
        self.open.insert(request, (span, own));
    }

    /// Ends the span of a request's placement, if it has one.
    pub(crate) fn end(&mut self, request: ids::RequestId) {
        self.open.remove(&request);
    }

    /// Returns the context that a message carries to its receiver.
    pub(crate) fn context_of(&self, message: &wire::PeerMessage) -> Option<String> {
        let wire::PeerMessage::Place(place::Message::Request(ask)) = message else {
            return None;
        };
        let (_, own) = self.open.get(&ask.request)?;
        Some(own.to_string())
    }
}
