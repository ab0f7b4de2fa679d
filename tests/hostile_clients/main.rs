//! Tests of real processes beside clients that don't keep to the limits of the protocol, or that hold
//! what they get for as long as they can.
//!
//! Each test starts the program on loopback addresses with limits of its own, lets a crowd of clients
//! connect and stay, and checks three things: the process lives, its memory and its open descriptors
//! stay within its limits, and an ordinary request is answered while the crowd is still there. Nothing
//! depends on times: all timeouts that a client could wait for are longer than the tests.
//!
//! The tests measure processes, so they run one at a time.

#[path = "../../platform/tests/common/mod.rs"]
mod common;

mod bounded_process;
mod caller_bodies;
mod caller_connections;
mod client_crowd;
mod entry_clients;
mod log_lines;
mod long_prompts;
mod node_site;
mod page_ports;
mod peer_bodies;
mod refusals;
mod state_updates;
mod unread_answers;
