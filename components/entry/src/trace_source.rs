//! The trace context of a caller's request.

/// Returns the caller's trace context, or a new one made from the request's number.
pub(crate) fn trace_of(headers: &http::HeaderMap, request: ids::RequestId) -> border::TraceParent {
    headers
        .get(border::TRACE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(border::TraceParent::parse)
        .unwrap_or_else(|| new_trace(request))
}

fn new_trace(request: ids::RequestId) -> border::TraceParent {
    let trace = xxhash_rust::xxh3::xxh3_128(&request.0.to_le_bytes()).max(1);
    border::TraceParent {
        trace,
        span: 1,
        sampled: true,
    }
    .child()
}
