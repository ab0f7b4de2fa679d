//! Sizes of messages on the wire.

use std::mem;

/// Bytes of headers around a message.
const HEADER_BYTES: usize = 60;

/// Bytes of a heartbeat without its news.
const HEARTBEAT_BYTES: usize = 28;

/// Bytes of a piece of news without the instance's entry.
const NEWS_BYTES: usize = 24;

/// Bytes of an instance's entry besides its names.
const ENTRY_BYTES: usize = 24;

/// Bytes of a summary with the sender's readiness.
const STANDING_BYTES: usize = 28;

/// Returns the bytes of a message between membership tables.
pub(crate) fn member_bytes(message: &member::Message) -> usize {
    let content = match message {
        member::Message::Probe(heartbeat) | member::Message::Ack(heartbeat) => {
            HEARTBEAT_BYTES + heartbeat.updates.iter().map(news_bytes).sum::<usize>()
        }
        member::Message::ProbeFor(instance) => mem::size_of_val(instance),
        member::Message::AckFor(..) => NEWS_BYTES,
    };
    HEADER_BYTES + content
}

fn news_bytes(news: &member::MemberUpdate) -> usize {
    let entry = news.entry.as_ref().map_or(0, |entry| {
        ENTRY_BYTES + entry.region.as_str().len() + entry.data_centre.as_str().len()
    });
    NEWS_BYTES + entry
}

/// Returns the bytes of a message between spreaders.
pub(crate) fn spread_bytes(message: &spread::Message) -> usize {
    let content = match message {
        spread::Message::StatusRequest(_)
        | spread::Message::StatusReply(_)
        | spread::Message::FetchPart(..) => STANDING_BYTES,
        spread::Message::Notes(_, notes) => {
            let texts: usize = notes.iter().map(|note| note.text.len() + 12).sum();
            STANDING_BYTES + texts
        }
        spread::Message::Part(part) => STANDING_BYTES + part.text.len() + 12,
    };
    HEADER_BYTES + content
}
