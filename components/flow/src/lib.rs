//! The way of a model request through an entry instance.
//!
//! [`FlowTable`] is a state machine without I/O: it takes [`Input`]s with the time and returns
//! [`Output`]s. It asks a cell owner for a placement, drives prefill, transfer and decode at the
//! engines and ends every request exactly once. Prompts and tokens stay with the traffic side,
//! which orders tokens with a [`TokenCursor`].

mod flow_outcome;
mod flow_spec;
mod flow_table;
mod input;
mod output;
mod token_cursor;

pub use flow_outcome::FlowOutcome;
pub use flow_spec::FlowSpec;
pub use flow_table::FlowTable;
pub use input::Input;
pub use output::Output;
pub use token_cursor::{CursorVerdict, TokenCursor};
