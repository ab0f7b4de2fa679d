//! Metrics of an instance, in the OpenMetrics format.
//!
//! [`Meter`] is cheap to clone and may be used from any thread. Names end in their units. Labels
//! take few values: reasons and states that the code knows, and request classes up to a bound;
//! never workspaces or requests.

mod answer_timing;
mod call_metrics;
mod class_bound;
mod label;
mod member_metrics;
mod meter_registry;
mod note_metrics;
mod order_metrics;
mod peer_metrics;
mod placement_metrics;
mod process_metrics;
mod process_usage;
mod request_metrics;
mod thread_time;

pub use answer_timing::AnswerTiming;
pub use call_metrics::CallMetrics;
pub use member_metrics::MemberMetrics;
pub use meter_registry::Meter;
pub use note_metrics::NoteMetrics;
pub use order_metrics::OrderMetrics;
pub use peer_metrics::PeerMetrics;
pub use placement_metrics::PlacementMetrics;
pub use process_metrics::ProcessMetrics;
pub use request_metrics::RequestMetrics;
pub use thread_time::thread_time;
