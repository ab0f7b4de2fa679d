//! Calls to plain services: routing, retries of idempotent calls, at most one run of the others.
//!
//! [`CallManager`] is a state machine without I/O: it takes [`Input`]s with the time and returns
//! [`Output`]s. Bodies stay with the traffic side; the machine knows a call by its [`CallSpec`].
//!
//! A non-idempotent call under a key runs only once enough witnesses of the key hold it for the
//! request. The witnesses are the instances that rendezvous hashing ranks first for the key.

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
mod fair_queue;
mod held_claim;
mod input;
mod key_age;
mod key_witness;
mod known_span;
mod message;
mod output;
mod recall_task;
mod server_gate;
mod server_health;
mod service_lane;
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
