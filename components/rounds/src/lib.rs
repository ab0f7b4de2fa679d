//! Drives the state machines of membership and note spread under virtual time.
//!
//! [`FleetRun`] is one loop over the machines of a fleet: it passes their messages on with delay
//! and loss, answers their reads of the service and the list, and wakes them. It is for tests and
//! studies of the protocols; equal seeds give equal runs.

mod chooser_kind;
mod fleet_event;
mod fleet_layout;
mod fleet_node;
mod fleet_run;
mod link_model;
mod message_size;
mod run_meter;
mod run_outputs;
mod sample_notes;
mod service_model;

pub use chooser_kind::ChooserKind;
pub use fleet_layout::FleetLayout;
pub use fleet_node::FleetNode;
pub use fleet_run::FleetRun;
pub use link_model::LinkModel;
pub use run_meter::RunMeter;
pub use sample_notes::{base_note, change_note, refused_note};
pub use service_model::{ServiceHealth, ServiceModel};
