//! Engine orders: the cell owner brings its engines to what the release notes ask for.
//!
//! [`OrderReconciler`] is a state machine without I/O: it takes [`Input`]s with the time and
//! returns [`Output`]s.

mod input;
mod order_reconciler;
mod output;

pub use input::Input;
pub use order_reconciler::OrderReconciler;
pub use output::Output;
