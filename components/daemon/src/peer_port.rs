//! The way to other instances.

/// Sends messages to other instances; none of the methods blocks.
pub(crate) trait PeerPort: Send {
    /// Sends a message, or drops it when it can't be sent now.
    fn send(&self, to: ids::InstanceId, message: wire::PeerMessage);

    /// Uses the addresses of a membership.
    fn set_peers(&self, view: &member::MemberView);
}

/// An instance without others.
pub(crate) struct LonePort;

impl PeerPort for LonePort {
    fn send(&self, to: ids::InstanceId, _message: wire::PeerMessage) {
        tracing::debug!(%to, "no connection to the peer");
    }

    fn set_peers(&self, _view: &member::MemberView) {}
}
