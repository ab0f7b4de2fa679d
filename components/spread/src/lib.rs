//! Spread of release notes: readers watch the configuration service, peers tell each other.
//!
//! [`NoteSpreader`] is a state machine without I/O: it takes [`Input`]s with the time and returns
//! [`Output`]s.

mod input;
mod message;
mod note_spreader;
mod output;

pub use input::Input;
pub use message::{Message, Summary};
pub use note_spreader::NoteSpreader;
pub use output::Output;
