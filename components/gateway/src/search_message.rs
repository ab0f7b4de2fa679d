//! Encodes what instances tell about streams whose software version no instance knows.

use std::time;

use crate::peer_message;

/// What an instance tells about streams whose software version no instance knows.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SearchMessage {
    /// Hashes of the services whose engines have to be asked.
    #[prost(fixed64, repeated, tag = "1")]
    sought: Vec<u64>,
    /// Hashes of the services whose engines the sender has asked.
    #[prost(fixed64, repeated, tag = "2")]
    searched: Vec<u64>,
    /// Time for which the sender knows all versions of the list.
    #[prost(uint32, tag = "3")]
    span_ms: u32,
    #[prost(message, repeated, tag = "4")]
    versions: Vec<VersionMessage>,
    /// Longest time for which a stream may be open. Earlier releases send none.
    #[prost(uint32, tag = "5")]
    lifetime_ms: u32,
}

/// Software version of a service.
#[derive(Clone, PartialEq, prost::Message)]
struct VersionMessage {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    service: u64,
    /// Hash of the version's name.
    #[prost(fixed64, tag = "2")]
    version: u64,
}

/// Encodes a notice; an empty one takes no bytes.
pub(crate) fn encode(notice: &relay::SearchNotice) -> Option<SearchMessage> {
    let versions = notice.versions.iter().map(|software| VersionMessage {
        service: software.service,
        version: software.version,
    });
    (!notice.is_empty()).then(|| SearchMessage {
        sought: notice.sought.clone(),
        searched: notice.searched.clone(),
        span_ms: peer_message::whole_millis(notice.span),
        versions: versions.collect(),
        lifetime_ms: peer_message::whole_millis(notice.lifetime),
    })
}

/// Decodes a notice.
pub(crate) fn decode(message: SearchMessage) -> relay::SearchNotice {
    let versions = message.versions.iter().map(|software| relay::SoftwareKey {
        service: software.service,
        version: software.version,
    });
    relay::SearchNotice {
        versions: versions.collect(),
        sought: message.sought,
        searched: message.searched,
        span: time::Duration::from_millis(message.span_ms.into()),
        lifetime: time::Duration::from_millis(message.lifetime_ms.into()),
    }
}
