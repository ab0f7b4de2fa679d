//! What the lane of a peer takes.

use tokio::sync::oneshot;

use crate::peer_link;

/// What the lane of a peer takes.
#[derive(Debug)]
pub(crate) enum LaneInput {
    /// Send a message, with the context of its span.
    Send(wire::PeerMessage, Option<String>),
    /// Use a link that the peer has opened.
    Adopt(peer_link::PeerLink),
    /// Tell when everything sent before is acknowledged or given up.
    Flush(oneshot::Sender<()>),
}
