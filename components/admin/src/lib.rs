//! Reading back what is in force: the server on the admin address, its client and its tables.
//!
//! [`AdminServer`] answers `GET /state`, `/engines` and `/metrics` from a [`StateSource`];
//! [`AdminClient`] reads them and [`status_text`] renders them for people.

mod admin_client;
mod admin_error;
mod admin_server;
mod cell_report;
mod engine_report;
mod instance_report;
mod member_report;
mod note_report;
mod operator_listener;
mod order_report;
mod state_report;
mod state_source;
mod status_text;

pub use admin_client::AdminClient;
pub use admin_error::AdminError;
pub use admin_server::AdminServer;
pub use cell_report::CellReport;
pub use engine_report::{EngineLoad, EngineReport};
pub use instance_report::InstanceReport;
pub use member_report::{MemberReport, MembershipReport};
pub use note_report::{LaggingInstance, NoteReport, RefusedNote};
pub use order_report::OrderReport;
pub use state_report::StateReport;
pub use state_source::StateSource;
pub use status_text::status_text;
