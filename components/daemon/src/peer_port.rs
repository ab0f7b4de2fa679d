//! The way to other instances.

use std::sync;

/// Sends messages to other instances; none of the methods blocks.
pub(crate) trait PeerPort: Send {
    /// Sends a message with the context of a span, or drops it when it can't be sent now.
    fn send(&self, to: ids::InstanceId, message: wire::PeerMessage, traceparent: Option<String>);

    /// Uses the addresses of a membership.
    fn set_peers(&self, view: &member::MemberView);
}

/// The way to other instances over the hub's connections.
pub(crate) struct HubPort {
    pub(crate) hub: sync::Arc<peer::PeerHub>,
}

impl PeerPort for HubPort {
    fn send(&self, to: ids::InstanceId, message: wire::PeerMessage, traceparent: Option<String>) {
        self.hub.send_traced(to, message, traceparent);
    }

    fn set_peers(&self, view: &member::MemberView) {
        self.hub.set_peers(view);
    }
}
