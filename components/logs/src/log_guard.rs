//! Starts logs and spans of a process.

use tracing_subscriber::{Layer as _, filter, layer::SubscriberExt as _};

use crate::{line_format, log_error, log_layer, span_export};

/// Libraries whose lines below warnings are of no use to operators.
const QUIET_TARGETS: [&str; 7] = [
    "h2",
    "hyper",
    "hyper_util",
    "opentelemetry",
    "opentelemetry_sdk",
    "tonic",
    "tower",
];

/// Keeps logs and the export of spans alive until the process ends.
#[must_use = "logs end when the guard is dropped"]
pub struct LogGuard {
    _export: Option<span_export::SpanExport>,
    logger: flexi_logger::LoggerHandle,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.logger.flush();
    }
}

/// Starts logs and spans of this process; call it once, before any thread that logs.
///
/// # Errors
///
/// Returns [`log_error::LogError`] when the logger or the export can't be started, or when logs
/// were started before.
pub fn start(
    log: settings::LogSettings,
    tracing: &settings::TracingSettings,
    instance: Option<ids::InstanceId>,
) -> Result<LogGuard, log_error::LogError> {
    let logger = start_logger(log)?;
    let export = tracing
        .collector
        .as_deref()
        .map(|collector| span_export::SpanExport::start(collector, instance))
        .transpose()?;
    let lines = log_layer::LogLayer::new(Box::new(log::logger())).with_filter(targets(log.level));
    let spans = export.as_ref().map(|export| {
        tracing_opentelemetry::layer()
            .with_tracer(export.tracer())
            .with_filter(targets(log.level.max(settings::LogLevel::Info)))
    });
    tracing::subscriber::set_global_default(
        tracing_subscriber::registry().with(lines).with(spans),
    )?;
    Ok(LogGuard {
        _export: export,
        logger,
    })
}

fn start_logger(
    log: settings::LogSettings,
) -> Result<flexi_logger::LoggerHandle, flexi_logger::FlexiLoggerError> {
    let mut specification = flexi_logger::LogSpecification::builder();
    specification.default(level_filter(log.level));
    for target in QUIET_TARGETS {
        specification.module(
            target,
            level_filter(log.level.min(settings::LogLevel::Warn)),
        );
    }
    let format = match log.format {
        settings::LogFormat::Text => line_format::write_text,
        settings::LogFormat::Json => flexi_logger::json_format,
    };
    flexi_logger::Logger::with(specification.build())
        .log_to_stderr()
        .format(format)
        .start()
}

fn targets(level: settings::LogLevel) -> filter::Targets {
    let quiet = tracing_filter(level.min(settings::LogLevel::Warn));
    filter::Targets::new()
        .with_default(tracing_filter(level))
        .with_targets(QUIET_TARGETS.map(|target| (target, quiet)))
}

const fn level_filter(level: settings::LogLevel) -> log::LevelFilter {
    match level {
        settings::LogLevel::Error => log::LevelFilter::Error,
        settings::LogLevel::Warn => log::LevelFilter::Warn,
        settings::LogLevel::Info => log::LevelFilter::Info,
        settings::LogLevel::Debug => log::LevelFilter::Debug,
        settings::LogLevel::Trace => log::LevelFilter::Trace,
    }
}

const fn tracing_filter(level: settings::LogLevel) -> filter::LevelFilter {
    match level {
        settings::LogLevel::Error => filter::LevelFilter::ERROR,
        settings::LogLevel::Warn => filter::LevelFilter::WARN,
        settings::LogLevel::Info => filter::LevelFilter::INFO,
        settings::LogLevel::Debug => filter::LevelFilter::DEBUG,
        settings::LogLevel::Trace => filter::LevelFilter::TRACE,
    }
}
