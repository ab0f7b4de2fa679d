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
    /// Hashes of the last parts of the streams' prompts, in the order of `streams`; 0 for a prompt without
    /// a part of its own. Earlier releases send none.
    #[prost(fixed64, repeated, tag = "5")]
    parts: Vec<u64>,
    /// Positions in `streams` of those whose prompts no prefill engine was sent.
    #[prost(uint32, repeated, tag = "6")]
    without_prefill: Vec<u32>,
    /// Positions in `streams` of those whose prompts the sender sent without knowing whether they were
    /// repeated.
    #[prost(uint32, repeated, tag = "7")]
    maybe_repeated: Vec<u32>,
}

impl OriginMessage {
    fn add(&mut self, report: &relay::OriginReport) {
        let position = u32::try_from(self.streams.len()).unwrap_or(u32::MAX);
        self.streams.push(report.stream);
        self.remaining_ms
            .push(peer_message::whole_millis(report.remaining));
        self.parts
            .push(report.prompt.map_or(0, |prompt| prompt.part));
        if report.prompt.is_some_and(|prompt| !prompt.to_prefill) {
            self.without_prefill.push(position);
        }
        if report.prompt.is_some_and(|prompt| prompt.may_be_repeat) {
            self.maybe_repeated.push(position);
        }
    }

    /// Returns the prompt of the stream at a position.
    fn prompt(&self, position: usize) -> Option<relay::SentPrompt> {
        let part = self
            .parts
            .get(position)
            .copied()
            .filter(|part| *part != 0)?;
        let is_at = |other: &u32| usize::try_from(*other) == Ok(position);
        Some(relay::SentPrompt {
            part,
            to_prefill: !self.without_prefill.iter().any(is_at),
            may_be_repeat: self.maybe_repeated.iter().any(is_at),
        })
    }
}

/// Encodes reports, those of a version together.
pub(crate) fn encode(reports: &[relay::OriginReport]) -> Vec<OriginMessage> {
    let mut messages: collections::BTreeMap<relay::SoftwareKey, OriginMessage> =
        collections::BTreeMap::new();
    for report in reports {
        messages
            .entry(report.software)
            .or_insert_with(|| OriginMessage {
                service: report.software.service,
                version: report.software.version,
                ..OriginMessage::default()
            })
            .add(report);
    }
    messages.into_values().collect()
}

/// Decodes the reports of a version.
pub(crate) fn decode(message: &OriginMessage) -> impl Iterator<Item = relay::OriginReport> {
    let software = relay::SoftwareKey {
        service: message.service,
        version: message.version,
    };
    let streams = message.streams.iter().zip(&message.remaining_ms);
    streams
        .enumerate()
        .map(move |(position, (stream, millis))| relay::OriginReport {
            stream: *stream,
            software,
            remaining: time::Duration::from_millis((*millis).into()),
            prompt: message.prompt(position),
        })
}
