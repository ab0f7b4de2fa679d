//! Calls to plain services: routing, retries of idempotent calls and at-most-once execution of
//! non-idempotent calls. The backend servers of a plain service are not engines.
//!
//! [`CallManager`] is a state machine without I/O: it accepts [`Input`]s with the current time and
//! returns [`Output`]s. It handles a call by its [`CallSpec`]; the body stays with the component
//! that serves the caller's connection.
//!
//! A non-idempotent call with an idempotency key runs only after a quorum of the key's witnesses
//! has recorded the key for the request. The witnesses are the instances with the highest
//! rendezvous hash for the key.

mod attempt_result;
mod call_config;
mod call_entry;
mod call_failure;
mod call_manager;
mod call_outcome;
mod call_spec;
mod claim_key;
mod claim_policy;
mod claim_quorum;
mod claim_round;
mod claim_state;
mod claim_store;
mod concurrency_limit;
#[cfg(test)]
mod concurrency_limit_tests;
mod coverage_window;
mod fair_queue;
mod held_claim;
mod input;
mod key_age;
mod key_witness;
mod message;
mod output;
mod recovery_task;
mod server_endpoint;
mod server_health;
mod service_pool;
mod witness_rank;

pub use attempt_result::AttemptResult;
pub use call_config::CallConfig;
pub use call_failure::CallFailure;
pub use call_manager::CallManager;
pub use call_outcome::CallOutcome;
pub use call_spec::CallSpec;
pub use claim_key::ClaimKey;
pub use claim_policy::ClaimPolicy;
pub use claim_quorum::{ClaimQuorum, OverlapPolicy};
pub use claim_state::ClaimState;
pub use held_claim::HeldClaim;
pub use input::Input;
pub use key_age::key_age;
pub use message::Message;
pub use output::Output;
pub use server_health::ServerHealth;
