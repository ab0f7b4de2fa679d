//! Runs a small site on loopback in one process and checks what must always hold.
//!
//! [`run`] starts instances, stand-in engines, services and the platform, sends quotes, dossiers,
//! lookups and order confirmations by a seeded plan, cancels some, kills an instance and an
//! engine, publishes a release note, drains the rest and reports what happened.

mod balancer;
mod call_client;
mod demo_error;
mod demo_options;
mod demo_report;
mod demo_run;
mod demo_site;
mod fault_script;
mod generation_client;
mod load_plan;
mod planned_request;
mod report_table;
mod request_result;
mod tally;

pub use demo_error::DemoError;
pub use demo_options::{DemoOptions, ScriptKind};
pub use demo_report::DemoReport;
pub use demo_run::run;
pub use report_table::report_table;
