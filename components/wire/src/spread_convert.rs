//! Conversions of messages between note spreaders.

use crate::{field, proto, wire_error};

impl From<spread::Message> for proto::SpreadMessage {
    fn from(message: spread::Message) -> Self {
        let body = match message {
            spread::Message::StatusRequest(standing) => {
                proto::spread_message::Body::Ask(standing.into())
            }
            spread::Message::StatusReply(standing) => {
                proto::spread_message::Body::Tell(standing.into())
            }
            spread::Message::Notes(standing, notes) => {
                proto::spread_message::Body::Notes(proto::Notes {
                    standing: Some(standing.into()),
                    notes: field::list(notes),
                })
            }
            spread::Message::FetchPart(summary, number) => {
                proto::spread_message::Body::FetchPart(proto::PartAsk {
                    summary: Some(summary.into()),
                    number,
                })
            }
            spread::Message::Part(part) => proto::spread_message::Body::Part(part.into()),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<proto::SpreadMessage> for spread::Message {
    type Error = wire_error::WireError;

    fn try_from(message: proto::SpreadMessage) -> Result<Self, Self::Error> {
        Ok(match field::required("spread message", message.body)? {
            proto::spread_message::Body::Ask(standing) => Self::StatusRequest(standing.try_into()?),
            proto::spread_message::Body::Tell(standing) => Self::StatusReply(standing.try_into()?),
            proto::spread_message::Body::Notes(proto::Notes { standing, notes }) => {
                let standing = field::required("standing", standing)?;
                Self::Notes(standing.try_into()?, field::list(notes))
            }
            proto::spread_message::Body::FetchPart(proto::PartAsk { summary, number }) => {
                Self::FetchPart(decode_summary(summary)?, number)
            }
            proto::spread_message::Body::Part(part) => Self::Part(part.try_into()?),
        })
    }
}

fn decode_summary(
    summary: Option<proto::Summary>,
) -> Result<spread::Summary, wire_error::WireError> {
    field::required("summary", summary)?.try_into()
}

impl From<spread::ReplicaStatus> for proto::Standing {
    fn from(standing: spread::ReplicaStatus) -> Self {
        let spread::ReplicaStatus { summary, ready } = standing;
        Self {
            summary: Some(summary.into()),
            ready,
        }
    }
}

impl TryFrom<proto::Standing> for spread::ReplicaStatus {
    type Error = wire_error::WireError;

    fn try_from(standing: proto::Standing) -> Result<Self, Self::Error> {
        let proto::Standing { summary, ready } = standing;
        Ok(Self {
            summary: decode_summary(summary)?,
            ready,
        })
    }
}

impl From<spread::LoggedNote> for proto::LoggedNote {
    fn from(note: spread::LoggedNote) -> Self {
        let spread::LoggedNote { revision, text } = note;
        Self {
            revision: revision.0,
            text: text.to_string(),
        }
    }
}

impl From<proto::LoggedNote> for spread::LoggedNote {
    fn from(note: proto::LoggedNote) -> Self {
        let proto::LoggedNote { revision, text } = note;
        Self {
            revision: ids::Revision(revision),
            text: text.into(),
        }
    }
}

impl From<spread::StatePart> for proto::StatePart {
    fn from(part: spread::StatePart) -> Self {
        let spread::StatePart {
            summary,
            number,
            count,
            text,
        } = part;
        Self {
            summary: Some(summary.into()),
            number,
            count,
            text: text.to_string(),
        }
    }
}

impl TryFrom<proto::StatePart> for spread::StatePart {
    type Error = wire_error::WireError;

    fn try_from(part: proto::StatePart) -> Result<Self, Self::Error> {
        let proto::StatePart {
            summary,
            number,
            count,
            text,
        } = part;
        Ok(Self {
            summary: decode_summary(summary)?,
            number,
            count,
            text: text.into(),
        })
    }
}

impl From<spread::Summary> for proto::Summary {
    fn from(summary: spread::Summary) -> Self {
        let spread::Summary { revision, digest } = summary;
        Self {
            revision: revision.0,
            digest: field::wide_bytes(digest.0),
        }
    }
}

impl TryFrom<proto::Summary> for spread::Summary {
    type Error = wire_error::WireError;

    fn try_from(summary: proto::Summary) -> Result<Self, Self::Error> {
        let proto::Summary { revision, digest } = summary;
        Ok(Self {
            revision: ids::Revision(revision),
            digest: note::StateDigest(field::wide_number("digest", &digest)?),
        })
    }
}
