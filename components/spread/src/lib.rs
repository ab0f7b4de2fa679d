//! Replication of release notes between instances by gossip and anti-entropy.
//!
//! A few instances, the readers, watch the configuration service. Readers and ready instances push
//! each note that comes into force to a few peers. Each instance also compares the [`Summary`] of
//! its state with a random peer every [`COMPARE_INTERVAL`]; the one that lags fetches the missing
//! notes or the whole state.
//!
//! [`NoteReplicator`] is a state machine without I/O: it accepts [`Input`]s with the current time
//! and returns [`Output`]s. The state in force only advances in the order of [`Summary`].

mod input;
mod locality_selector;
mod message;
mod note_log;
mod note_replicator;
mod note_updates;
mod output;
mod peer_messages;
mod peer_selector;
mod ranked_selector;
mod reader_rule;
mod readiness;
mod readiness_gate;
mod replication_status;
mod replicator_config;
mod service_schedule;
mod state_fetch;
mod state_sender;
mod uniform_selector;

pub use input::Input;
pub use locality_selector::LocalitySelector;
pub use message::{LoggedNote, Message, ReplicaStatus, StatePart, Summary};
pub use note_log::NOTES_LIMIT_BYTES;
pub use note_replicator::{COMPARE_INTERVAL, NoteReplicator};
pub use output::Output;
pub use peer_selector::PeerSelector;
pub use ranked_selector::RankedSelector;
pub use readiness::Readiness;
pub use replication_status::{PeerStatus, RefusedNote, ReplicationStatus};
pub use replicator_config::ReplicatorConfig;
pub use state_sender::PART_LIMIT_BYTES;
pub use uniform_selector::UniformSelector;
