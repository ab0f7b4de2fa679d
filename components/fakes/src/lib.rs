//! Stand-ins for the systems outside, for tests and the demo.
//!
//! The servers listen on loopback, each on a free port. They are fakes at the interfaces: engines
//! follow the timing of [`engine_model`], services count what they run, the configuration service
//! and the instance list serve what they are given.

pub mod engine_model;

mod answer_plan;
mod config_stand;
mod engine_fleet;
mod engine_routes;
mod engine_slot;
mod engine_stand;
mod fleet_state;
mod list_stand;
mod prefill_ledger;
mod service_stand;
mod silent_io;
mod site_caller;
mod site_figures;
mod site_stand;
mod stand_clock;
mod stand_server;
mod token_record;

pub use answer_plan::AnswerPlan;
pub use config_stand::ConfigStand;
pub use engine_fleet::EngineFleet;
pub use engine_stand::EngineStand;
pub use list_stand::ListStand;
pub use prefill_ledger::PrefillLedger;
pub use service_stand::{ServiceBehaviour, ServiceStand};
pub use site_caller::{CallerAnswer, SiteCaller, StreamAnswer, error_code};
pub use site_figures::SiteFigures;
pub use site_stand::SiteStand;
pub use stand_clock::StandClock;
pub use stand_server::StandServer;
