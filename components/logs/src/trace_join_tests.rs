//! Tests of joining spans across processes.

use opentelemetry::trace::TracerProvider as _;
use opentelemetry_sdk::trace;
use tracing_subscriber::layer::SubscriberExt as _;

use crate::trace_join;

const PARENT: border::TraceParent = border::TraceParent {
    trace: 0x4bf9_2f35_77b3_4da6_a3ce_929d_0e0e_4736,
    span: 0x00f0_67aa_0ba9_02b7,
    sampled: true,
};

/// Runs `work` with an exporter and returns the spans it has seen.
fn spans_of(work: impl FnOnce()) -> Vec<trace::SpanData> {
    let exporter = trace::InMemorySpanExporter::default();
    let provider = trace::SdkTracerProvider::builder()
        .with_simple_exporter(exporter.clone())
        .build();
    let layer = tracing_opentelemetry::layer().with_tracer(provider.tracer("test"));
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::with_default(subscriber, work);
    exporter.get_finished_spans().expect("spans are kept")
}

#[test]
fn a_span_joins_the_trace_of_its_caller() {
    let spans = spans_of(|| {
        let span = tracing::info_span!("entry");
        let passed_on = trace_join::join_trace(&span, PARENT);
        assert_eq!(passed_on.trace, PARENT.trace);
        assert_ne!(passed_on.span, PARENT.span);
    });

    let [span] = spans.as_slice() else {
        panic!("one span was made: {spans:?}");
    };
    assert_eq!(
        span.span_context.trace_id().to_bytes(),
        PARENT.trace.to_be_bytes()
    );
    assert_eq!(span.parent_span_id.to_bytes(), PARENT.span.to_be_bytes());
}

#[test]
fn the_next_hop_is_a_child_of_this_one() {
    let spans = spans_of(|| {
        let first = tracing::info_span!("entry");
        let passed_on = trace_join::join_trace(&first, PARENT);
        let second = tracing::info_span!("prefill");
        let _ = trace_join::join_trace(&second, passed_on);
        drop(second);
    });

    let [second, first] = spans.as_slice() else {
        panic!("two spans were made: {spans:?}");
    };
    assert_eq!(second.parent_span_id, first.span_context.span_id());
}

#[test]
fn the_trace_goes_on_without_an_export() {
    let passed_on = trace_join::join_trace(&tracing::Span::none(), PARENT);

    assert_eq!(passed_on.trace, PARENT.trace);
    assert_ne!(passed_on.span, PARENT.span);
}
