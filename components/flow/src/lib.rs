//! The way of a model request through an entry instance.
//!
//! [`FlowTable`] is a state machine without I/O: it takes [`Input`]s with the time and returns
//! [`Output`]s. It asks a cell owner for a placement, drives prefill, transfer and decode at the
//! engines and ends every request exactly once. Prompts and tokens stay with the traffic side,
//! which orders tokens with a [`TokenCursor`].

mod cell_board;
mod flow_outcome;
mod flow_spec;
mod flow_stage;
mod flow_timers;
mod input;
mod model_flow;
mod output;
mod table;
mod token_cursor;
mod waste_cause;

pub use flow_outcome::FlowOutcome;
pub use flow_spec::FlowSpec;
pub use input::Input;
pub use output::Output;
pub use table::FlowTable;
pub use token_cursor::{TokenAction, TokenCursor};
pub use waste_cause::WasteCause;
