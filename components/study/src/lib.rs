//! Measures placement: instances' control cores and engine models under virtual time.
//!
//! One event loop drives the cores, the engines and the callers of a [`StudyCase`]; the messages
//! between them take the time of the sites' networks. Nothing here decides about requests.

mod case_result;
mod control_count;
mod engine_host;
mod fault_script;
mod options;
mod request_plan;
mod request_trace;
mod result_table;
mod site_mix;
mod study_case;
mod study_fault;
mod study_world;
mod world_engines;
mod world_event;
mod world_platform;

pub use case_result::CaseResult;
pub use options::{StudyOptions, run};
pub use request_trace::RequestTrace;
pub use site_mix::SiteMix;
pub use study_case::StudyCase;
pub use study_fault::StudyFault;
pub use study_world::StudyWorld;
