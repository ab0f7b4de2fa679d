//! A timing model of one model engine, without I/O and with time as an argument.
//!
//! [`EngineModel`] reads prompts one after the other, keeps results for a while, moves KV caches
//! over a shared link and generates tokens in a batch whose pace depends on its size. Whoever
//! drives several models joins the two ends of a transfer: it answers
//! [`EngineEvent::Pull`] by [`EngineModel::export`] at the source and passes
//! [`EngineEvent::Exported`] on by [`EngineModel::source_sent`].

mod cache_log;
mod decode_batch;
mod decode_stream;
mod engine_event;
mod engine_figures;
mod import_work;
mod link_share;
mod load_log;
mod model;
mod model_error;
mod model_steps;
mod prefill_queue;
mod prefill_work;
mod prefix_cache;
mod retained_cache;
mod running_list;
mod work_key;

#[cfg(test)]
mod engine_model_tests;

pub use decode_stream::DecodeWork;
pub use engine_event::EngineEvent;
pub use engine_figures::EngineFigures;
pub use import_work::ImportWork;
pub use model::EngineModel;
pub use model_error::ModelError;
pub use prefill_work::PrefillWork;
pub use work_key::WorkKey;
