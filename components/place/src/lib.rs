//! Placement: the owner of a cell decides which engines serve a request, and when.
//!
//! [`CellOwner`] is a state machine without I/O: it takes [`Input`]s with the time and returns
//! [`Output`]s. [`cell`] says which cells there are and who owns them.

pub mod cell;
mod cell_owner;
mod input;
mod lease_claim;
mod lease_phase;
mod lease_update;
mod message;
mod output;
mod place_ask;
mod placement;
mod refusal;
mod refusal_reason;
mod retarget_ask;
mod spare_advert;

pub use cell_owner::CellOwner;
pub use input::Input;
pub use lease_claim::LeaseClaim;
pub use lease_phase::LeasePhase;
pub use lease_update::LeaseUpdate;
pub use message::Message;
pub use output::Output;
pub use place_ask::PlaceAsk;
pub use placement::Placement;
pub use refusal::Refusal;
pub use refusal_reason::RefusalReason;
pub use retarget_ask::RetargetAsk;
pub use spare_advert::SpareAdvert;
