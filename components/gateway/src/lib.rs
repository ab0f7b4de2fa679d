//! Relays requests between callers, backend servers and engines.
//!
//! The decisions are made by `relay::RelayCore`; this crate executes them. [`Gateway`] handles a
//! request from its arrival to its completion. [`ViewReader`] keeps the view of the platform up to
//! date, and [`PeerLink`] exchanges state updates with the other instances. The protocols of the
//! platform are implemented behind the traits [`RelayClient`] and [`SiteSource`].

mod buffered_reply;
mod call_session;
mod crash_message;
mod crash_reporter;
mod decision_event;
mod decision_log;
mod drain_tally;
mod early_refusal;
mod estimate_message;
mod event_reader;
mod event_splitter;
mod forwarding_term;
mod gateway;
mod gateway_metrics;
mod intake_metrics;
mod intake_watch;
mod late_request;
mod limit_message;
mod order_sender;
mod origin_message;
mod pause_watch;
mod peer_forwarder;
mod peer_link;
mod peer_message;
mod placement_guard;
mod proxy_client;
mod proxy_log;
mod proxy_session;
mod queue_message;
mod queue_timer;
mod reach_prober;
mod relay_answer;
mod relay_client;
mod relay_request;
mod run_evidence;
mod run_record;
mod search_message;
mod server_notice;
mod share_message;
mod shared_core;
mod site_source;
mod spend_message;
mod started_stream;
mod stream_opener;
mod stream_searcher;
mod stream_session;
mod stream_trace;
mod task_supervisor;
mod usage_message;
mod view_message;
mod view_reader;
mod view_transfer;
mod workspace_charge;
mod workspace_metrics;

pub use decision_event::{DecisionEvent, LimitEvent};
pub use decision_log::DecisionLog;
pub use drain_tally::DrainSummary;
pub use event_splitter::{EventSplitter, StreamEvent};
pub use gateway::Gateway;
pub use gateway_metrics::GatewayMetrics;
pub use intake_watch::run_intake_watch;
pub use order_sender::run_order_sender;
pub use peer_link::PeerLink;
pub use peer_message::{decode as decode_update, encode as encode_update};
pub use proxy_client::{ProxyClient, ProxyReply, ProxyTarget};
pub use queue_timer::run_queue_timer;
pub use reach_prober::run_reach_prober;
pub use relay_answer::{LocalAnswer, RelayAnswer};
pub use relay_client::{
    KvSource, OrderReply, RelayClient, RelayReply, RelayStep, ReplyBody, SendOptions,
};
pub use relay_request::{GenerationSize, RelayRequest};
pub use run_evidence::RefusalProof;
pub use server_notice::{NoticeRecorder, NoticeSink, NoticeSource, ServerNotice};
pub use shared_core::SharedCore;
pub use site_source::{SiteSource, SourceError};
pub use stream_searcher::StreamSearcher;
pub use task_supervisor::TaskSupervisor;
pub use view_reader::{ViewReader, answer_view};
