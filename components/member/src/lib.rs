//! Membership: which instances live, from the platform's list and direct heartbeats.
//!
//! [`MemberTable`] is a state machine without I/O: it takes [`Input`]s with the time and returns
//! [`Output`]s.

mod input;
mod member_entry;
mod member_state;
mod member_table;
mod member_view;
mod message;
mod output;

pub use input::Input;
pub use member_entry::MemberEntry;
pub use member_state::MemberState;
pub use member_table::MemberTable;
pub use member_view::MemberView;
pub use message::{Heartbeat, Message};
pub use output::Output;
