//! Encodes the software versions that began streams.

use std::{collections, time};

use crate::peer_message;

/// Streams that one software version of a service began.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct OriginMessage {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    service: u64,
    /// Hash of the version's name.
    #[prost(fixed64, tag = "2")]
    version: u64,
    /// Hashes of the attempts that began the streams.
    #[prost(fixed64, repeated, tag = "3")]
    streams: Vec<u64>,
    /// Times within which callers may take the streams up, in the order of `streams`.
    #[prost(uint32, repeated, tag = "4")]
    remaining_ms: Vec<u32>,
}

/// Encodes reports, those of a version together.
pub(crate) fn encode(reports: &[relay::OriginReport]) -> Vec<OriginMessage> {
    let mut messages: collections::BTreeMap<relay::SoftwareKey, OriginMessage> =
        collections::BTreeMap::new();
    for report in reports {
        let message = messages
            .entry(report.software)
            .or_insert_with(|| OriginMessage {
                service: report.software.service,
                version: report.software.version,
                ..OriginMessage::default()
            });
        message.streams.push(report.stream);
        message
            .remaining_ms
            .push(peer_message::whole_millis(report.remaining));
    }
    messages.into_values().collect()
}

/// Decodes the reports of a version.
pub(crate) fn decode(message: OriginMessage) -> impl Iterator<Item = relay::OriginReport> {
    let software = relay::SoftwareKey {
        service: message.service,
        version: message.version,
    };
    let streams = message.streams.into_iter().zip(message.remaining_ms);
    streams.map(move |(stream, millis)| relay::OriginReport {
        stream,
        software,
        remaining: time::Duration::from_millis(millis.into()),
    })
}
