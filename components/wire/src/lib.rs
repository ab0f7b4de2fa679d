//! Messages between instances and their encoding.

mod peer_message;

pub use peer_message::PeerMessage;
