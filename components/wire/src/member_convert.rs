//! Conversions of messages between membership tables.

use crate::{entry_convert, field, proto, wire_error};

impl From<member::Message> for proto::MemberMessage {
    fn from(message: member::Message) -> Self {
        let body = match message {
            member::Message::Probe(heartbeat) => {
                proto::member_message::Body::Probe(heartbeat.into())
            }
            member::Message::Ack(heartbeat) => proto::member_message::Body::Ack(heartbeat.into()),
            member::Message::ProbeFor(instance) => {
                proto::member_message::Body::ProbeFor(instance.0)
            }
            member::Message::AckFor(instance, incarnation, epoch) => {
                proto::member_message::Body::AckFor(proto::AckFor {
                    instance: instance.0,
                    incarnation: incarnation.0,
                    epoch,
                })
            }
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<proto::MemberMessage> for member::Message {
    type Error = wire_error::WireError;

    fn try_from(message: proto::MemberMessage) -> Result<Self, Self::Error> {
        Ok(match field::required("member message", message.body)? {
            proto::member_message::Body::Probe(heartbeat) => Self::Probe(heartbeat.try_into()?),
            proto::member_message::Body::Ack(heartbeat) => Self::Ack(heartbeat.try_into()?),
            proto::member_message::Body::ProbeFor(instance) => {
                Self::ProbeFor(ids::InstanceId(instance))
            }
            proto::member_message::Body::AckFor(proto::AckFor {
                instance,
                incarnation,
                epoch,
            }) => Self::AckFor(
                ids::InstanceId(instance),
                ids::Incarnation(incarnation),
                epoch,
            ),
        })
    }
}

impl From<member::Heartbeat> for proto::Heartbeat {
    fn from(heartbeat: member::Heartbeat) -> Self {
        let member::Heartbeat {
            incarnation,
            epoch,
            leaving,
            sequence,
            updates,
        } = heartbeat;
        Self {
            incarnation: incarnation.0,
            epoch,
            leaving,
            sequence,
            news: field::list(updates),
        }
    }
}

impl TryFrom<proto::Heartbeat> for member::Heartbeat {
    type Error = wire_error::WireError;

    fn try_from(heartbeat: proto::Heartbeat) -> Result<Self, Self::Error> {
        let proto::Heartbeat {
            incarnation,
            epoch,
            leaving,
            sequence,
            news,
        } = heartbeat;
        Ok(Self {
            incarnation: ids::Incarnation(incarnation),
            epoch,
            leaving,
            sequence,
            updates: field::all(news)?,
        })
    }
}

impl From<member::MemberUpdate> for proto::MemberNews {
    fn from(news: member::MemberUpdate) -> Self {
        let member::MemberUpdate {
            instance,
            incarnation,
            epoch,
            state,
            entry,
        } = news;
        Self {
            instance: instance.0,
            incarnation: incarnation.0,
            epoch,
            state: encode_state(state).into(),
            entry: entry.map(entry_convert::encode_entry),
        }
    }
}

impl TryFrom<proto::MemberNews> for member::MemberUpdate {
    type Error = wire_error::WireError;

    fn try_from(news: proto::MemberNews) -> Result<Self, Self::Error> {
        let proto::MemberNews {
            instance,
            incarnation,
            epoch,
            state,
            entry,
        } = news;
        Ok(Self {
            instance: ids::InstanceId(instance),
            incarnation: ids::Incarnation(incarnation),
            epoch,
            state: decode_state(state)?,
            entry: entry.map(entry_convert::decode_entry).transpose()?,
        })
    }
}

const fn encode_state(state: member::MemberState) -> proto::MemberState {
    match state {
        member::MemberState::Alive => proto::MemberState::Alive,
        member::MemberState::Suspect => proto::MemberState::Suspect,
        member::MemberState::Leaving => proto::MemberState::Leaving,
        member::MemberState::Dead => proto::MemberState::Dead,
    }
}

fn decode_state(found: i32) -> Result<member::MemberState, wire_error::WireError> {
    match proto::MemberState::try_from(found) {
        Ok(proto::MemberState::Alive) => Ok(member::MemberState::Alive),
        Ok(proto::MemberState::Suspect) => Ok(member::MemberState::Suspect),
        Ok(proto::MemberState::Leaving) => Ok(member::MemberState::Leaving),
        Ok(proto::MemberState::Dead) => Ok(member::MemberState::Dead),
        Ok(proto::MemberState::Unspecified) | Err(_) => Err(wire_error::WireError::UnknownValue {
            field: "member state",
            found,
        }),
    }
}
