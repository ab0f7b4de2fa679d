//! Joins the spans of a request across processes.

use opentelemetry::trace::{self, TraceContextExt as _};
use tracing_opentelemetry::OpenTelemetrySpanExt as _;

/// Makes `span` a child of a context that came from elsewhere; returns the context to pass on.
///
/// Without an export the span has no context of its own; the returned one then names a span that
/// nobody records, of the same trace.
#[must_use]
pub fn join_trace(span: &tracing::Span, parent: border::TraceParent) -> border::TraceParent {
    let remote = opentelemetry::Context::new().with_remote_span_context(span_context(parent));
    // It fails without an export, or when the span has begun; either way it has no such parent.
    let _ = span.set_parent(remote);
    own_trace(span).unwrap_or_else(|| parent.child())
}

/// Returns the context of `span` itself; `None` without an export.
#[must_use]
pub fn own_trace(span: &tracing::Span) -> Option<border::TraceParent> {
    let context = span.context();
    let span = context.span();
    let own = span.span_context();
    own.is_valid().then(|| border::TraceParent {
        trace: u128::from_be_bytes(own.trace_id().to_bytes()),
        span: u64::from_be_bytes(own.span_id().to_bytes()),
        sampled: own.is_sampled(),
    })
}

fn span_context(parent: border::TraceParent) -> trace::SpanContext {
    let flags = if parent.sampled {
        opentelemetry::TraceFlags::SAMPLED
    } else {
        opentelemetry::TraceFlags::NOT_SAMPLED
    };
    trace::SpanContext::new(
        trace::TraceId::from_bytes(parent.trace.to_be_bytes()),
        trace::SpanId::from_bytes(parent.span.to_be_bytes()),
        flags,
        true,
        trace::TraceState::NONE,
    )
}
