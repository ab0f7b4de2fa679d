//! Counts of a hub.

/// Counts of a hub since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerStats {
    /// Messages handed to a stream.
    pub sent_messages: u64,
    /// Bytes of these messages and of acknowledgements, without the framing of HTTP/2.
    pub sent_bytes: u64,
    /// Messages received.
    pub received_messages: u64,
    /// Bytes received, without the framing of HTTP/2.
    pub received_bytes: u64,
    /// Messages dropped because the queue of their peer was full.
    pub dropped_full: u64,
    /// Messages dropped because their peer has no known address.
    pub dropped_unknown: u64,
    /// Messages dropped because no connection to their peer could be opened.
    pub dropped_unreachable: u64,
    /// Received messages dropped because this instance took too long to handle others.
    pub dropped_inbound: u64,
    /// Received messages dropped because they were malformed or meant for another instance.
    pub dropped_malformed: u64,
    /// Streams opened by this instance.
    pub streams_opened: u64,
    /// Streams replaced because messages stayed unacknowledged.
    pub streams_replaced: u64,
}
