//! Membership: which instances live, from the platform's list and direct heartbeats.
//!
//! [`MemberTable`] is a state machine without I/O: it takes [`Input`]s with the time and returns
//! [`Output`]s. Each instance probes one random member a period, asks others to probe a member
//! that stays silent, and passes a bounded number of news on with every heartbeat.

mod input;
mod member_entry;
mod member_record;
mod member_state;
mod member_table;
mod member_update;
mod member_view;
mod message;
mod news_queue;
mod output;
mod partition_rule;
mod probe_round;
mod table_news;
mod table_probes;
mod view_refresh;

pub use input::Input;
pub use member_entry::MemberEntry;
pub use member_state::MemberState;
pub use member_table::{MemberTable, PAUSE_LIMIT, PROBE_INTERVAL};
pub use member_update::MemberUpdate;
pub use member_view::MemberView;
pub use message::{Heartbeat, Message};
pub use output::Output;
pub use table_probes::NEWS_LIMIT;
