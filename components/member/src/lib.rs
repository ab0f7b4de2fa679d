//! Membership of the fleet, from the platform's instance list and from direct heartbeats.
//!
//! The failure detector follows SWIM: each instance probes one random member per
//! [`PROBE_INTERVAL`], requests indirect probes of a member that doesn't acknowledge, and
//! piggybacks a bounded number of membership updates on every heartbeat. The incarnation number of
//! SWIM, which a member increments to refute a suspicion, is called epoch here; an incarnation is
//! one process of an instance.
//!
//! [`MemberTable`] is a state machine without I/O: it accepts [`Input`]s with the current time and
//! returns [`Output`]s.

mod input;
mod member_entry;
mod member_record;
mod member_state;
mod member_table;
mod member_update;
mod member_view;
mod message;
mod output;
mod partition_rule;
mod probe_schedule;
mod table_probes;
mod table_updates;
mod update_queue;
mod view_refresh;

pub use input::Input;
pub use member_entry::MemberEntry;
pub use member_state::MemberState;
pub use member_table::{MemberTable, PAUSE_LIMIT, PROBE_INTERVAL};
pub use member_update::MemberUpdate;
pub use member_view::MemberView;
pub use message::{Heartbeat, Message};
pub use output::Output;
pub use table_probes::UPDATE_LIMIT;
