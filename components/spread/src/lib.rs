//! Spread of release notes: readers watch the configuration service, peers tell each other.
//!
//! [`NoteSpreader`] is a state machine without I/O: it takes [`Input`]s with the time and returns
//! [`Output`]s. What is in force only ever grows in the order of [`Summary`].

mod centre_chooser;
mod input;
mod message;
mod note_log;
mod note_spreader;
mod output;
mod peer_chooser;
mod ranked_chooser;
mod reader_rule;
mod readiness;
mod service_reader;
mod spread_status;
mod spreader_config;
mod start_gate;
mod state_donor;
mod state_fetch;
mod take_notes;
mod take_peers;
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
pub use state_donor::PART_LIMIT_BYTES;
pub use uniform_chooser::UniformChooser;
