//! Conversions of messages between note spreaders.

use std::sync;

use crate::{field, proto, wire_error};

impl From<spread::Message> for proto::SpreadMessage {
    fn from(message: spread::Message) -> Self {
        use proto::spread_message::Body;
        let body = match message {
            spread::Message::Summary(summary) => Body::Summary(summary.into()),
            spread::Message::Notes(summary, texts) => Body::Notes(proto::Notes {
                summary: Some(summary.into()),
                texts: texts.iter().map(ToString::to_string).collect(),
            }),
        };
        Self { body: Some(body) }
    }
}

impl TryFrom<proto::SpreadMessage> for spread::Message {
    type Error = wire_error::WireError;

    fn try_from(message: proto::SpreadMessage) -> Result<Self, Self::Error> {
        use proto::spread_message::Body;
        match field::required("spread message", message.body)? {
            Body::Summary(summary) => summary.try_into().map(Self::Summary),
            Body::Notes(proto::Notes { summary, texts }) => {
                let summary = field::required("summary", summary)?;
                let texts = texts.into_iter().map(sync::Arc::from).collect();
                Ok(Self::Notes(summary.try_into()?, texts))
            }
        }
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
            digest: note::NoteDigest(field::wide_number("digest", &digest)?),
        })
    }
}
