//! Encodes what an instance knows of segments that crash engines.

use std::time;

use crate::peer_message;

/// Crashes, clearances and quarantines in a state update.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CrashMessage {
    /// Hashes of the suspected segments, one for each crash.
    #[prost(fixed64, repeated, tag = "1")]
    segments: Vec<u64>,
    /// Hashes of the requests' ids, in the order of `segments`.
    #[prost(fixed64, repeated, tag = "2")]
    requests: Vec<u64>,
    /// Hashes of cleared segments.
    #[prost(fixed64, repeated, tag = "3")]
    cleared: Vec<u64>,
    /// Hashes of quarantined segments.
    #[prost(fixed64, repeated, tag = "4")]
    quarantined: Vec<u64>,
    /// Remaining times of the quarantines, in the order of `quarantined`.
    #[prost(uint32, repeated, tag = "5")]
    remaining_ms: Vec<u32>,
}

/// Encodes a notice; `None` if it is empty.
pub(crate) fn encode(notice: &relay::CrashNotice) -> Option<CrashMessage> {
    let message = CrashMessage {
        segments: notice.reports.iter().map(|report| report.segment).collect(),
        requests: notice.reports.iter().map(|report| report.request).collect(),
        cleared: notice.cleared.clone(),
        quarantined: notice
            .quarantined
            .iter()
            .map(|(segment, _)| *segment)
            .collect(),
        remaining_ms: notice
            .quarantined
            .iter()
            .map(|(_, remaining)| peer_message::whole_millis(*remaining))
            .collect(),
    };
    Some(message).filter(|message| *message != CrashMessage::default())
}

/// Decodes a notice.
pub(crate) fn decode(message: CrashMessage) -> relay::CrashNotice {
    let reports = message.segments.into_iter().zip(message.requests);
    let quarantined = message.quarantined.into_iter().zip(message.remaining_ms);
    relay::CrashNotice {
        reports: reports
            .map(|(segment, request)| relay::CrashReport { segment, request })
            .collect(),
        cleared: message.cleared,
        quarantined: quarantined
            .map(|(segment, millis)| (segment, time::Duration::from_millis(millis.into())))
            .collect(),
    }
}
