//! Replication of release notes between instances by gossip and anti-entropy.
//!
//! A few instances, the readers, watch the configuration service. Readers and ready instances push
//! each note that comes into force to a few peers. Each instance also compares the [`Summary`] of
//! its state with a random peer every [`COMPARE_INTERVAL`]; the one that lags fetches the missing
//! notes or the whole state.
//!
//! [`NoteSpreader`] is a state machine without I/O: it accepts [`Input`]s with the current time
//! and returns [`Output`]s. The state in force only advances in the order of [`Summary`].

mod centre_chooser;
mod input;
mod message;
mod note_log;
mod note_spreader;
mod note_updates;
mod output;
mod peer_chooser;
mod peer_messages;
mod ranked_chooser;
mod reader_rule;
mod readiness;
mod readiness_gate;
mod service_reader;
mod spread_status;
mod spreader_config;
mod state_fetch;
mod state_sender;
mod uniform_chooser;

pub use centre_chooser::CentreChooser;
pub use input::Input;
pub use message::{LoggedNote, Message, Standing, StatePart, Summary};
pub use note_log::NOTES_LIMIT_BYTES;
pub use note_spreader::{COMPARE_INTERVAL, NoteSpreader};
pub use output::Output;
pub use peer_chooser::PeerChooser;
pub use ranked_chooser::RankedChooser;
pub use readiness::Readiness;
pub use spread_status::{PeerStatus, RefusedNote, SpreadStatus};
pub use spreader_config::SpreaderConfig;
pub use state_sender::PART_LIMIT_BYTES;
pub use uniform_chooser::UniformChooser;
