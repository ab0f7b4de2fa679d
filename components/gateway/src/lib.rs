//! Relays requests between callers, backend servers and engines, as the relay core decides.
//!
//! [`Gateway`] carries a request from its arrival to its end. [`ViewReader`] keeps what the platform
//! publishes current, and [`PeerLink`] tells the other instances what this one uses. What speaks a
//! platform's protocol stands behind [`RelayClient`] and [`SiteSource`].

mod call_session;
mod core_port;
mod decision_event;
mod decision_log;
mod event_splitter;
mod gateway;
mod gateway_metrics;
mod line_timer;
mod order_giver;
mod peer_link;
mod peer_message;
mod place_guard;
mod relay_answer;
mod relay_client;
mod relay_request;
mod site_source;
mod stream_opener;
mod stream_opening;
mod stream_session;
mod stream_trace;
mod view_reader;
mod whole_reply;

pub use core_port::CorePort;
pub use decision_event::DecisionEvent;
pub use decision_log::DecisionLog;
pub use event_splitter::{EventSplitter, StreamEvent};
pub use gateway::Gateway;
pub use gateway_metrics::GatewayMetrics;
pub use line_timer::run_line_timer;
pub use order_giver::run_orders;
pub use peer_link::PeerLink;
pub use peer_message::{decode as decode_news, encode as encode_news};
pub use relay_answer::{OwnAnswer, RelayAnswer};
pub use relay_client::{
    KvSource, OrderReply, RelayClient, RelayReply, RelaySend, RelayStep, ReplyBody,
};
pub use relay_request::{GenerationSize, RelayRequest};
pub use site_source::{SiteSource, SourceError};
pub use view_reader::{ViewReader, answer_view};
