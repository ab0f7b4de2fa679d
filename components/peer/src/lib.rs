//! Connections between instances.
//!
//! [`PeerHub`] carries messages over one long-lived gRPC stream for each peer in use, in both
//! directions. A stream is opened on demand and closed when idle. Each side acknowledges what it
//! receives; a stream on which messages stay unacknowledged is replaced by a fresh connection,
//! which tells nothing about the peer itself. Messages may be lost, doubled or reordered.

mod hub_counters;
mod hub_shared;
mod lane_input;
mod link_counts;
#[cfg(test)]
mod link_counts_tests;
mod link_dialer;
mod link_reader;
mod link_service;
mod peer_config;
mod peer_connection;
mod peer_error;
mod peer_hub;
mod peer_lane;
mod peer_link;
mod peer_stats;

pub use peer_config::PeerConfig;
pub use peer_error::PeerError;
pub use peer_hub::PeerHub;
pub use peer_stats::PeerStats;
