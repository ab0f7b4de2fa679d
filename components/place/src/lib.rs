//! Placement: the owner of a cell decides which engines serve a request, and when.
//!
//! [`CellOwner`] is a state machine without I/O: it takes [`Input`]s with the time and returns
//! [`Output`]s. [`cell`] says which cells there are and who owns them.

mod ask_queue;
pub mod cell;
mod cell_book;
mod cell_group;
mod cell_map;
mod cell_owner;
mod cell_planner;
mod cell_split;
mod deadline_policy;
mod ended_works;
mod engine_book;
mod engine_reach;
mod entry_news;
mod foreign_work;
mod held_lease;
mod input;
mod keys;
mod lease_claim;
mod lease_news;
mod lease_phase;
mod lease_update;
mod least_loaded_policy;
mod message;
mod orphan_watch;
mod output;
mod output_guess;
mod owner_context;
mod pending_ask;
mod place_ask;
mod placement;
mod placement_policy;
mod policy_choice;
mod policy_kind;
mod prefix_hints;
mod refusal;
mod refusal_reason;
mod region_members;
mod report_choice;
mod retarget_ask;
mod retry_budget;
mod role_demand;
mod round_robin_policy;
mod spare_advert;
mod spare_news;
mod takeover;
mod timed_reads;
mod two_choices_policy;
mod work_key;
mod workspace_shares;

pub use ask_queue::{AskQueue, QueueAhead};
pub use cell_book::CellBook;
pub use cell_map::CellMap;
pub use cell_owner::CellOwner;
pub use cell_planner::{CellPlanner, LEASE_SPAN};
pub use engine_book::EngineBook;
pub use held_lease::HeldLease;
pub use input::Input;
pub use keys::{EngineKey, LeaseKey};
pub use lease_claim::LeaseClaim;
pub use lease_phase::LeasePhase;
pub use lease_update::LeaseUpdate;
pub use message::Message;
pub use output::Output;
pub use pending_ask::PendingAsk;
pub use place_ask::PlaceAsk;
pub use placement::Placement;
pub use placement_policy::PlacementPolicy;
pub use policy_choice::{PlacementPlan, PolicyChoice, PolicyVerdict};
pub use policy_kind::PolicyKind;
pub use prefix_hints::{PREFIX_BLOCK_LIMIT, PREFIX_BLOCK_TOKENS};
pub use refusal::Refusal;
pub use refusal_reason::RefusalReason;
pub use region_members::RegionMembers;
pub use retarget_ask::RetargetAsk;
pub use spare_advert::SpareAdvert;
pub use work_key::WorkKey;

/// Time between two lists of all its leases that an entry instance sends to an owner.
pub const UPDATE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(1);
