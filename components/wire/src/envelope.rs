//! One message on a link between instances.

use crate::{peer_message, proto, wire_error};

/// One message on a link between instances, or an acknowledgement alone.
#[derive(Clone, Debug, Eq, PartialEq, bon::Builder)]
pub struct Envelope {
    /// Instance that sends.
    pub sender: ids::InstanceId,
    /// Process of the sender.
    pub incarnation: ids::Incarnation,
    /// Instance that is meant.
    pub receiver: ids::InstanceId,
    /// Count of the sender's messages on this link, from 1; 0 for an acknowledgement alone.
    pub sequence: u64,
    /// Highest count that the sender has received on this link.
    pub acknowledged: u64,
    /// Context of the sender's span, as in the W3C header field `traceparent`.
    pub traceparent: Option<String>,
    /// The message; `None` for an acknowledgement alone.
    pub message: Option<peer_message::PeerMessage>,
}

impl From<Envelope> for proto::Envelope {
    fn from(envelope: Envelope) -> Self {
        let Envelope {
            sender,
            incarnation,
            receiver,
            sequence,
            acknowledged,
            traceparent,
            message,
        } = envelope;
        Self {
            sender: sender.0,
            incarnation: incarnation.0,
            receiver: receiver.0,
            sequence,
            acknowledged,
            traceparent: traceparent.unwrap_or_default(),
            body: message.map(proto::envelope::Body::from),
        }
    }
}

impl TryFrom<proto::Envelope> for Envelope {
    type Error = wire_error::WireError;

    fn try_from(envelope: proto::Envelope) -> Result<Self, Self::Error> {
        let proto::Envelope {
            sender,
            incarnation,
            receiver,
            sequence,
            acknowledged,
            traceparent,
            body,
        } = envelope;
        Ok(Self {
            sender: ids::InstanceId(sender),
            incarnation: ids::Incarnation(incarnation),
            receiver: ids::InstanceId(receiver),
            sequence,
            acknowledged,
            traceparent: Some(traceparent).filter(|text| !text.is_empty()),
            message: body.map(peer_message::PeerMessage::try_from).transpose()?,
        })
    }
}
