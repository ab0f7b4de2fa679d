//! The lifecycle of model requests in an entry instance.
//!
//! [`FlowTable`] is a state machine without I/O: it handles each [`Input`] at a given time and
//! returns [`Output`]s. It requests placements from cell owners, controls prefill, transfer and
//! decode at the engines and finishes every request exactly once. It holds no prompts or tokens;
//! the code that streams tokens to the caller orders them with a [`TokenCursor`].

mod cell_directory;
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
