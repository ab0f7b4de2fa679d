//! The export of spans to a collector.

use std::time;

use opentelemetry::trace::TracerProvider as _;
use opentelemetry_otlp::WithExportConfig as _;
use opentelemetry_sdk::trace;
use tokio::runtime;

use crate::log_error;

/// Name under which spans are exported.
const SERVICE_NAME: &str = "plantainreach";

/// Time that the last spans get to be sent at the end of the process.
const SHUTDOWN_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Exports spans until it is dropped; what is left is sent then.
#[derive(Debug)]
pub(crate) struct SpanExport {
    provider: trace::SdkTracerProvider,
    /// Carries the connection to the collector, apart from control and traffic.
    _runtime: runtime::Runtime,
}

impl SpanExport {
    /// Starts the export to a collector that speaks OTLP over gRPC.
    pub(crate) fn start(
        collector: &str,
        instance: Option<ids::InstanceId>,
    ) -> Result<Self, log_error::LogError> {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name("span-export")
            .enable_all()
            .build()?;
        let entered = runtime.enter();
        let exporter = opentelemetry_otlp::SpanExporter::builder()
            .with_tonic()
            .with_endpoint(collector)
            .build()
            .map_err(|source| log_error::LogError::Export {
                collector: collector.to_owned(),
                source,
            })?;
        drop(entered);
        let provider = trace::SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_resource(resource(instance))
            .build();
        Ok(Self {
            provider,
            _runtime: runtime,
        })
    }

    /// Returns a tracer whose spans are exported.
    pub(crate) fn tracer(&self) -> trace::SdkTracer {
        self.provider.tracer(SERVICE_NAME)
    }
}

impl Drop for SpanExport {
    fn drop(&mut self) {
        if let Err(error) = self.provider.shutdown_with_timeout(SHUTDOWN_TIMEOUT) {
            tracing::debug!(%error, "spans were left unsent");
        }
    }
}

fn resource(instance: Option<ids::InstanceId>) -> opentelemetry_sdk::Resource {
    let builder = opentelemetry_sdk::Resource::builder().with_service_name(SERVICE_NAME);
    let id = instance.map(|id| opentelemetry::KeyValue::new("service.instance.id", id.to_string()));
    builder.with_attributes(id).build()
}
