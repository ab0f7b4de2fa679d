//! Messages between instances and their encoding.
//!
//! [`proto`] is generated from `proto/peer.proto` by `cargo xtask generate`. [`Envelope`] is what
//! the rest of the router sees; the conversions name every field and variant, so that a message
//! that grows doesn't build until its encoding has grown too. A malformed message is a
//! [`WireError`].

mod call_convert;
mod claim_convert;
mod entry_convert;
mod envelope;
mod field;
mod lease_convert;
mod member_convert;
mod peer_message;
mod place_convert;
pub mod proto;
mod spread_convert;
mod wire_error;

pub use envelope::Envelope;
pub use peer_message::PeerMessage;
pub use wire_error::WireError;
