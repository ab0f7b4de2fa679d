//! Decisions about requests that are relayed unchanged, without I/O.
//!
//! A relayed request carries its own bytes, and names its sizes beside them. [`RelayCore`] knows
//! the platform's configuration and list, what each instance uses of each backend server, and
//! how well these answer. It finds routes, chooses servers, places generations on prefill and
//! decode engines, refuses what can't be served in time, and bounds repeats.

mod backend;
mod backend_book;
mod backend_entry;
mod backend_health;
mod core_settings;
mod engine_choice;
mod engine_usage;
mod instance_book;
mod instance_news;
mod instance_state;
mod length_guess;
mod list_delta;
mod memory_forecast;
mod next_step;
mod order_gate;
mod refusal;
mod relay_core;
mod request_kind;
mod route_rule;
mod service_rule;
mod site_config;
mod site_view;
mod stage_planner;
mod stream_ask;
mod stream_lease;
mod told_news;
mod view_change;
mod view_keeper;
mod wait_line;
mod wait_news;

pub use backend::{Backend, BackendKey};
pub use backend_book::{BackendBook, BackendTable};
pub use backend_entry::{BackendEntry, EngineStage};
pub use backend_health::{BackendHealth, BackendOutcome};
pub use core_settings::CoreSettings;
pub use engine_choice::{EngineChoice, EngineChooser};
pub use engine_usage::{EngineUsage, StreamLoad};
pub use instance_book::InstanceBook;
pub use instance_news::{InstanceUpdate, server_hash, service_hash};
pub use length_guess::{LengthGuess, remaining_tokens};
pub use list_delta::ListDelta;
pub use memory_forecast::peak_tokens;
pub use next_step::{AttemptCount, NextStep, StepFailure, StreamStep};
pub use order_gate::{OrderGate, OrderView};
pub use refusal::{Refusal, RefusalReason};
pub use relay_core::{
    MovedStream, PlacementOutcome, RelayCore, RouteMatch, ServerSelection, StageOrder,
    StreamCompletion, StreamPlacement,
};
pub use request_kind::RequestKind;
pub use retry::{FleetCount, RetryBound, RetryCount, RetryWindow};
pub use route_rule::{RouteRule, ServiceShare};
pub use service_rule::{EngineSize, ServiceRule};
pub use site_config::{RequestBounds, SiteConfig};
pub use site_view::{BackendMap, SiteView};
pub use stage_planner::{EngineCost, PoolSplit, StageChange, StagePlanner};
pub use stream_ask::StreamRequest;
pub use stream_lease::{StreamKey, StreamLease};
pub use view_change::{ViewChange, ViewUpdate};
pub use view_keeper::ViewKeeper;
pub use wait_line::{QueueTicket, WaitLine, WaitRank, WaitingAsk};
pub use wait_news::QueueUpdate;
