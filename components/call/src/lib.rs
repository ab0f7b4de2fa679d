//! Calls to plain services: routing, retries of idempotent calls, at most one run of the others.
//!
//! [`CallKeeper`] is a state machine without I/O: it takes [`Input`]s with the time and returns
//! [`Output`]s. Bodies stay with the traffic side; the machine knows a call by its [`CallSpec`].

mod attempt_result;
mod call_failure;
mod call_keeper;
mod call_outcome;
mod call_spec;
mod claim_key;
mod input;
mod message;
mod output;

pub use attempt_result::AttemptResult;
pub use call_failure::CallFailure;
pub use call_keeper::CallKeeper;
pub use call_outcome::CallOutcome;
pub use call_spec::CallSpec;
pub use claim_key::ClaimKey;
pub use input::Input;
pub use message::{ClaimState, Message};
pub use output::Output;
