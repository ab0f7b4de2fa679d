//! Decisions about requests that are relayed unchanged, without I/O.
//!
//! A relayed request contains the caller's bytes and declares its sizes in separate fields.
//! [`RelayCore`] holds the platform's configuration and list of backend servers, the usage of each
//! server by each instance, and the health of the servers. It matches routes, selects servers,
//! places generations on prefill and decode engines, refuses requests that can't be served in time,
//! and bounds retries.

mod backend;
mod backend_entry;
mod backend_health;
mod backend_registry;
mod core_settings;
mod crash_notice;
mod crash_quarantine;
mod crash_report;
mod decayed_count;
mod drain_plan;
mod engine_pool;
mod engine_selector;
mod engine_usage;
mod fleet_contact;
mod fleet_topology;
mod instance_registry;
mod instance_state;
mod instance_update;
mod key_judge;
mod known_instance;
mod length_estimator;
mod limit_refusal;
mod limit_registry;
mod limit_report;
mod linear_fit;
mod list_delta;
mod list_event;
mod memory_evidence;
mod memory_forecast;
mod newer_configs;
mod next_step;
mod order_gate;
mod origin_registry;
mod origin_report;
mod prefill_model;
mod prompt_registry;
mod prompt_terms;
mod quarantine_entry;
mod queue_update;
mod read_schedule;
mod refusal;
mod relay_core;
mod removed_entries;
mod request_identity;
mod request_kind;
mod route_rule;
mod search_notice;
mod search_schedule;
mod sent_state;
mod server_limit;
mod server_reach;
mod service_estimate;
mod service_rule;
mod service_shares;
mod share_order;
mod share_registry;
mod share_report;
mod share_step;
mod site_config;
mod site_view;
mod software_history;
mod software_key;
mod spend_report;
mod spending_knowledge;
mod stage_planner;
mod store_contact;
mod stream_lease;
mod stream_lifetime;
mod stream_request;
mod stream_search;
mod suspect_crashes;
mod update_routes;
mod view_announcement;
mod view_change;
mod view_position;
mod view_tracker;
mod wait_queue;
mod workspace_budget;
mod workspace_key;
mod workspace_limits;

pub use backend::{Backend, BackendKey};
pub use backend_entry::{BackendEntry, EngineStage};
pub use backend_health::{BackendHealth, BackendOutcome};
pub use backend_registry::{BackendRegistry, BackendTable};
pub use core_settings::CoreSettings;
pub use crash_notice::CrashNotice;
pub use crash_quarantine::CrashQuarantine;
pub use crash_report::{CrashReport, CrashSource, segment_hash};
pub use drain_plan::DrainPlan;
pub use engine_pool::EnginePool;
pub use engine_selector::{EngineSelection, EngineSelector};
pub use engine_usage::{EngineUsage, StreamLoad};
pub use fleet_contact::FleetContact;
pub use fleet_topology::FleetTopology;
pub use instance_registry::InstanceRegistry;
pub use instance_update::{InstanceUpdate, incarnation_hash, server_hash, service_hash};
pub use key_judge::{Admission, ConfigStanding, KeyRefusal, judge};
pub use known_instance::{KnownInstance, data_centre_hash};
pub use length_estimator::{LengthEstimator, remaining_tokens};
pub use limit_refusal::{ChargeOutcome, LimitRefusal, WorkspaceCharge};
pub use limit_registry::LimitRegistry;
pub use limit_report::{LimitObservation, LimitReport, ReportSource};
pub use linear_fit::{FittedLine, LinearFit};
pub use list_delta::ListDelta;
pub use list_event::{ListChange, ListEvent};
pub use memory_forecast::peak_tokens;
pub use next_step::{AttemptCount, NextStep, StepFailure, StreamStep};
pub use order_gate::{OrderContext, OrderGate};
pub use origin_registry::OriginRegistry;
pub use origin_report::{OriginReport, SentPrompt, stream_hash};
pub use prefill_model::PrefillModel;
pub use prompt_terms::PromptTerms;
pub use queue_update::QueueUpdate;
pub use read_schedule::ViewStep;
pub use refusal::{Refusal, RefusalReason};
pub use relay_core::{
    DRAIN_REFUSAL, MovedStream, PlacementOutcome, RelayCore, RouteMatch, ServerProbe,
    ServerSelection, StageOrder, StreamCompletion, StreamPlacement, StreamQuery, StreamSoftware,
    WorkspaceSpending,
};
pub use request_identity::{RequestIdentity, RequestParts};
pub use request_kind::RequestKind;
pub use retry::{FleetCount, RetryBound, RetryCount, RetryWindow};
pub use route_rule::{RouteRule, ServiceShare};
pub use search_notice::SearchNotice;
pub use server_reach::ServerReach;
pub use service_estimate::{ServiceEstimate, StreamSample};
pub use service_rule::{EngineSize, ServiceRule};
pub use share_registry::WorkspaceShare;
pub use share_report::ShareReport;
pub use share_step::ShareStep;
pub use site_config::{RequestBounds, SiteConfig};
pub use site_view::{BackendMap, SiteView};
pub use software_history::SoftwareHistory;
pub use software_key::SoftwareKey;
pub use spend_report::{SpendReport, workspace_hash};
pub use stage_planner::{EngineCost, PoolSplit, StageChange, StagePlanner};
pub use stream_lease::{StreamKey, StreamLease};
pub use stream_request::StreamRequest;
pub use stream_search::{
    EngineMemory, ListHistory, ProvenParts, SearchResult, SearchSummary, StreamSearch,
    UnprovenParts, part_hash,
};
pub use update_routes::{ForwardScope, GreetingUpdate, UpdateEffect, UpdateRoutes};
pub use view_announcement::ViewAnnouncement;
pub use view_change::{RevisedChange, ViewChange, ViewUpdate};
pub use view_position::ViewPosition;
pub use view_tracker::ViewTracker;
pub use wait_queue::{QueueRank, QueueTicket, WaitQueue, WaitingRequest};
pub use workspace_key::WorkspaceKey;
pub use workspace_limits::WorkspaceLimits;
