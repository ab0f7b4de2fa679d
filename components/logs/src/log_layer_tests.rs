//! Tests of handing events to a logger.

use std::sync;

use tracing_subscriber::layer::SubscriberExt as _;

use crate::log_layer;

/// Keeps the records it is given, as text.
#[derive(Clone, Default)]
struct RecordKeeper(sync::Arc<sync::Mutex<Vec<String>>>);

impl log::Log for RecordKeeper {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut text = format!("{} {}", record.level(), record.args());
        let mut pairs = PairText(&mut text);
        record
            .key_values()
            .visit(&mut pairs)
            .expect("text takes every pair");
        self.0.lock().expect("no test panics here").push(text);
    }

    fn flush(&self) {}
}

/// Appends pairs to a text.
struct PairText<'text>(&'text mut String);

impl<'pair> log::kv::VisitSource<'pair> for PairText<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'pair>,
        value: log::kv::Value<'pair>,
    ) -> Result<(), log::kv::Error> {
        self.0.push_str(&format!(" {key}={value}"));
        Ok(())
    }
}

/// Runs `work` under a layer and returns the records of its events.
fn records_of(work: impl FnOnce()) -> Vec<String> {
    let mut lines = lines_of(work);
    lines.retain(|line| !line.contains(" took "));
    lines
}

/// Runs `work` under a layer and returns all records, those of ending spans included.
fn lines_of(work: impl FnOnce()) -> Vec<String> {
    let keeper = RecordKeeper::default();
    let layer = log_layer::LogLayer::new(Box::new(keeper.clone()));
    let subscriber = tracing_subscriber::registry().with(layer);
    tracing::subscriber::with_default(subscriber, work);
    keeper.0.lock().expect("no test panics here").clone()
}

#[test]
fn an_event_carries_its_fields_and_those_of_its_spans() {
    let records = records_of(|| {
        let request = tracing::info_span!("request", request = 7, class = "quote");
        let _request = request.enter();
        let prefill = tracing::info_span!("prefill", engine = %"p1");
        let _prefill = prefill.enter();
        tracing::warn!(tokens = 300, "prefill is late");
    });

    assert_eq!(
        records,
        ["WARN prefill is late tokens=300 engine=p1 request=7 class=quote span=request > prefill"]
    );
}

#[test]
fn the_innermost_value_of_a_field_wins() {
    let records = records_of(|| {
        let span = tracing::info_span!("call", server = "a");
        let _span = span.enter();
        tracing::info!(server = "b", "moved");
    });

    assert_eq!(records, ["INFO moved server=b span=call"]);
}

#[test]
fn a_field_recorded_later_is_shown() {
    let records = records_of(|| {
        let span = tracing::info_span!("call", outcome = tracing::field::Empty);
        let _span = span.enter();
        span.record("outcome", "ran");
        tracing::info!("done");
    });

    assert_eq!(records, ["INFO done outcome=ran span=call"]);
}

#[test]
fn a_span_that_ends_tells_its_time_and_fields() {
    let lines = lines_of(|| {
        let span = tracing::info_span!("prefill", engine = "p1", outcome = tracing::field::Empty);
        span.record("outcome", "ran");
    });

    let [line] = lines.as_slice() else {
        panic!("one span ended: {lines:?}");
    };
    assert!(line.starts_with("DEBUG prefill took "), "{line}");
    assert!(line.ends_with(" engine=p1 outcome=ran"), "{line}");
}
