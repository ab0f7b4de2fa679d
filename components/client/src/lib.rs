//! HTTP clients of the systems outside an instance.
//!
//! A [`ConnectionPool`] keeps connections and sorts every failure by what it proves: a request
//! whose first byte never left is [`border::BorderError::NotSent`], everything after that is
//! [`border::BorderError::Lost`]. The gateways implement the traits of `border` over it. Nothing
//! here sends a request twice.

mod answer_memory;
mod bounded_fetch;
mod config_gateway;
mod connection_pool;
mod engine_gateway;
mod engine_timeouts;
mod json_exchange;
mod list_gateway;
mod pool_settings;
mod pooled_answer;
mod pooled_connection;
mod repeated_ask;
mod server_dialer;
mod service_gateway;
mod store_gateway;
mod token_lines;
mod trace_scope;
mod watched_stream;

pub use answer_memory::{AnswerMemory, AnswerShare, HeldAnswer};
pub use bounded_fetch::{FetchLimits, WholeAnswer};
pub use config_gateway::ConfigGateway;
pub use connection_pool::ConnectionPool;
pub use engine_gateway::EngineGateway;
pub use engine_timeouts::EngineTimeouts;
pub use list_gateway::ListGateway;
pub use pool_settings::PoolSettings;
pub use pooled_answer::PooledAnswer;
pub use server_dialer::{ServerDialer, TcpDialer};
pub use service_gateway::ServiceGateway;
pub use store_gateway::StoreGateway;
pub use trace_scope::{current_trace, in_trace};
