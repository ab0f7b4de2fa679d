//! Messages and bytes of control.

use prost::Message as _;

/// Messages and bytes of placement that went between instances.
#[derive(Clone, Copy, Debug, Default)]
pub struct ControlCount {
    /// Messages.
    pub messages: u64,
    /// Bytes of their envelopes.
    pub bytes: u64,
}

impl ControlCount {
    /// Counts a message between two instances.
    pub fn add(&mut self, from: ids::InstanceId, to: ids::InstanceId, message: &wire::PeerMessage) {
        if !matches!(message, wire::PeerMessage::Place(_)) {
            return;
        }
        self.messages += 1;
        let envelope = wire::Envelope::builder()
            .sender(from)
            .incarnation(ids::Incarnation(1))
            .receiver(to)
            .sequence(self.messages)
            .acknowledged(self.messages)
            .message(message.clone())
            .build();
        let encoded = wire::proto::Envelope::from(envelope).encoded_len();
        self.bytes += u64::try_from(encoded).unwrap_or(0);
    }
}
