//! Logs and spans of a process.
//!
//! Events of `tracing` become records of `log`, which `flexi_logger` writes to the standard error
//! output as text or JSON; each names the spans it stands in with their fields. When the settings
//! name a collector, spans go there by OTLP. [`join_trace`] joins the spans of a request across
//! instances, engines and backend servers.

mod event_fields;
mod line_format;
mod line_writer;
mod log_error;
mod log_guard;
mod log_layer;
#[cfg(test)]
mod log_layer_tests;
mod span_export;
mod trace_join;
#[cfg(test)]
mod trace_join_tests;

pub use line_writer::{LineWeight, LineWriter};
pub use log_error::LogError;
pub use log_guard::{LogGuard, start};
pub use trace_join::{join_trace, own_trace};
