//! A message between instances.

use crate::{proto, wire_error};

/// A message between instances, sorted by the state machine it is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerMessage {
    /// For the membership table.
    Member(member::Message),
    /// For the note spreader.
    Spread(spread::Message),
    /// For placement, on the owner's or the entry's side.
    Place(place::Message),
    /// For the call keeper.
    Call(call::Message),
}

impl From<PeerMessage> for proto::envelope::Body {
    fn from(message: PeerMessage) -> Self {
        match message {
            PeerMessage::Member(message) => Self::Member(message.into()),
            PeerMessage::Spread(message) => Self::Spread(message.into()),
            PeerMessage::Place(message) => Self::Place(message.into()),
            PeerMessage::Call(message) => Self::Call(message.into()),
        }
    }
}

impl TryFrom<proto::envelope::Body> for PeerMessage {
    type Error = wire_error::WireError;

    fn try_from(body: proto::envelope::Body) -> Result<Self, Self::Error> {
        Ok(match body {
            proto::envelope::Body::Member(message) => Self::Member(message.try_into()?),
            proto::envelope::Body::Spread(message) => Self::Spread(message.try_into()?),
            proto::envelope::Body::Place(message) => Self::Place(message.try_into()?),
            proto::envelope::Body::Call(message) => Self::Call(message.try_into()?),
        })
    }
}
