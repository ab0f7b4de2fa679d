//! Hands events of `tracing` to a logger of `log`.

use std::time;

use tracing::span;
use tracing_subscriber::{layer, registry};

use crate::event_fields;

/// Name of the field that lists the spans an event stands in.
const SPAN_FIELD: &str = "span";

/// When a span began.
struct SpanStart(time::Instant);

/// Hands events of `tracing` to a logger of `log`, with the fields of the spans they stand in.
pub(crate) struct LogLayer {
    logger: Box<dyn log::Log>,
}

impl LogLayer {
    /// Makes a layer that hands events to `logger`.
    pub(crate) fn new(logger: Box<dyn log::Log>) -> Self {
        Self { logger }
    }

    fn write(
        &self,
        level: log::Level,
        metadata: &tracing::Metadata<'_>,
        fields: &event_fields::EventFields,
    ) {
        self.logger.log(
            &log::Record::builder()
                .level(level)
                .target(metadata.target())
                .module_path(metadata.module_path())
                .file(metadata.file())
                .line(metadata.line())
                .key_values(&fields.pairs)
                .args(format_args!("{}", fields.message))
                .build(),
        );
    }
}

impl<Registry> layer::Layer<Registry> for LogLayer
where
    Registry: tracing::Subscriber + for<'span> registry::LookupSpan<'span>,
{
    fn on_new_span(
        &self,
        attributes: &span::Attributes<'_>,
        id: &span::Id,
        context: layer::Context<'_, Registry>,
    ) {
        let Some(span) = context.span(id) else {
            return;
        };
        let mut fields = event_fields::EventFields::default();
        attributes.record(&mut fields);
        let mut extensions = span.extensions_mut();
        extensions.insert(fields);
        extensions.insert(SpanStart(time::Instant::now()));
    }

    fn on_record(
        &self,
        id: &span::Id,
        values: &span::Record<'_>,
        context: layer::Context<'_, Registry>,
    ) {
        let Some(span) = context.span(id) else {
            return;
        };
        if let Some(fields) = span.extensions_mut().get_mut::<event_fields::EventFields>() {
            values.record(fields);
        }
    }

    fn on_close(&self, id: span::Id, context: layer::Context<'_, Registry>) {
        let Some(span) = context.span(&id) else {
            return;
        };
        let metadata = log::Metadata::builder()
            .level(log::Level::Debug)
            .target(span.metadata().target())
            .build();
        if !self.logger.enabled(&metadata) {
            return;
        }
        let extensions = span.extensions();
        let fields = extensions.get::<event_fields::EventFields>();
        let start = extensions.get::<SpanStart>();
        if let (Some(fields), Some(SpanStart(start))) = (fields, start) {
            let mut fields = fields.clone();
            fields.message = format!("{} took {:?}", span.name(), start.elapsed());
            self.write(log::Level::Debug, span.metadata(), &fields);
        }
    }

    fn on_event(&self, event: &tracing::Event<'_>, context: layer::Context<'_, Registry>) {
        let mut fields = event_fields::EventFields::default();
        event.record(&mut fields);
        let mut path = Vec::new();
        for span in context.event_scope(event).into_iter().flatten() {
            path.push(span.name());
            if let Some(outer) = span.extensions().get::<event_fields::EventFields>() {
                fields.add_missing(outer);
            }
        }
        if !path.is_empty() {
            path.reverse();
            fields.pairs.push((SPAN_FIELD, path.join(" > ")));
        }
        let level = log_level(*event.metadata().level());
        self.write(level, event.metadata(), &fields);
    }
}

const fn log_level(level: tracing::Level) -> log::Level {
    match level {
        tracing::Level::ERROR => log::Level::Error,
        tracing::Level::WARN => log::Level::Warn,
        tracing::Level::INFO => log::Level::Info,
        tracing::Level::DEBUG => log::Level::Debug,
        tracing::Level::TRACE => log::Level::Trace,
    }
}
