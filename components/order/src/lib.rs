//! Engine orders: a cell owner reconciles its engines with the desired state of the release notes.
//!
//! [`OrderReconciler`] is a state machine without I/O: it accepts [`Input`]s with the current time
//! and returns [`Output`]s. It sends orders only while the membership view permits them, and at
//! most one open order per engine. Only the status reported by the engine shows whether an order
//! was executed.

mod engine_plan;
mod engine_record;
mod fencing_number;
mod input;
mod load_budget;
mod order_gate;
mod order_reconciler;
mod order_report;
mod output;
mod role_planner;

pub use fencing_number::FencingNumber;
pub use input::Input;
pub use order_gate::{FENCED_HOLD_OFF, UNFENCED_HOLD_OFF};
pub use order_reconciler::OrderReconciler;
pub use order_report::OrderReport;
pub use output::Output;
