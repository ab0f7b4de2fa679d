//! Errors of starting logs and spans.

/// Errors of starting logs and spans.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum LogError {
    /// The logger can't be started.
    #[error("cannot start the logger")]
    Logger(#[from] flexi_logger::FlexiLoggerError),
    /// Logs were started before in this process.
    #[error("logs were started before in this process")]
    Started(#[from] tracing::subscriber::SetGlobalDefaultError),
    /// The export of spans can't be started.
    #[error("cannot export spans to {collector}")]
    #[diagnostic(help("check `tracing.collector` in the settings, or leave it out"))]
    Export {
        /// Address of the collector.
        collector: String,
        /// What the exporter said.
        source: opentelemetry_otlp::ExporterBuildError,
    },
    /// The thread that exports spans can't be started.
    #[error("cannot start the thread that exports spans")]
    Thread(#[from] std::io::Error),
}
