//! The trace context of a caller's request.

/// Joins the span of a request to its caller's trace, or begins one; returns the context to pass
/// on.
pub(crate) fn join(
    span: &tracing::Span,
    headers: &http::HeaderMap,
    request: ids::RequestId,
) -> border::TraceParent {
    let trace = match caller_trace(headers) {
        Some(parent) => logs::join_trace(span, parent),
        None => logs::own_trace(span).unwrap_or_else(|| new_trace(request)),
    };
    span.in_scope(|| tracing::debug!(%trace, "request arrived"));
    trace
}

fn caller_trace(headers: &http::HeaderMap) -> Option<border::TraceParent> {
    let text = headers.get(border::TRACE_HEADER)?.to_str().ok()?;
    border::TraceParent::parse(text)
}

/// Makes a context from the request's number, the same on every instance.
fn new_trace(request: ids::RequestId) -> border::TraceParent {
    let trace = xxhash_rust::xxh3::xxh3_128(&request.0.to_le_bytes()).max(1);
    let parent = border::TraceParent {
        trace,
        span: 1,
        sampled: true,
    };
    parent.child()
}
