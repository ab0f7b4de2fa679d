//! Spans of the hops of a request.

use std::future;

use tracing::Instrument as _;

/// Runs a hop of a request in a span of its own, as part of the request's trace.
///
/// Calls made within it carry the span's context.
pub(crate) fn in_hop<Work: future::Future>(
    span: tracing::Span,
    trace: border::TraceParent,
    work: Work,
) -> impl future::Future<Output = Work::Output> {
    let own = logs::join_trace(&span, trace);
    client::in_trace(own, work).instrument(span)
}
