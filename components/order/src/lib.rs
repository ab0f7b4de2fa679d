//! Engine orders: the cell owner brings its engines to what the release notes ask for.
//!
//! [`OrderReconciler`] is a state machine without I/O: it takes [`Input`]s with the time and
//! returns [`Output`]s. It orders an engine only while its gate allows it, one order at a
//! time, and believes only what the engine's status says afterwards.

mod engine_plan;
mod engine_track;
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
