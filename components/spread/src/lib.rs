//! Spread of release notes: readers watch the configuration service, peers tell each other.
//!
//! [`NoteReplicator`] is a state machine without I/O: it takes [`Input`]s with the time and returns
//! [`Output`]s. What is in force only ever grows in the order of [`Summary`].

mod input;
mod locality_selector;
mod message;
mod note_log;
mod note_replicator;
mod output;
mod peer_selector;
mod ranked_selector;
mod reader_rule;
mod readiness;
mod replication_status;
mod replicator_config;
mod service_reader;
mod start_gate;
mod state_donor;
mod state_fetch;
mod take_notes;
mod take_peers;
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
pub use state_donor::PART_LIMIT_BYTES;
pub use uniform_selector::UniformSelector;
