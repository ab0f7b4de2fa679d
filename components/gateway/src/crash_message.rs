//! Encodes what an instance knows of requests that crash servers.

use std::time;

use crate::peer_message;

/// Crashes, clearances and quarantines in a state update.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct CrashMessage {
    /// Hashes of the suspects, one for each crash.
    #[prost(fixed64, repeated, tag = "1")]
    suspects: Vec<u64>,
    /// Hashes of the requests, in the order of `suspects`.
    #[prost(fixed64, repeated, tag = "2")]
    requests: Vec<u64>,
    /// Hashes of cleared suspects.
    #[prost(fixed64, repeated, tag = "3")]
    cleared: Vec<u64>,
    /// Hashes of quarantined suspects.
    #[prost(fixed64, repeated, tag = "4")]
    quarantined: Vec<u64>,
    /// Remaining times of the quarantines, in the order of `quarantined`.
    #[prost(uint32, repeated, tag = "5")]
    remaining_ms: Vec<u32>,
    /// Hashes of the incarnations of the servers, in the order of `suspects`; none from instances that
    /// don't send them.
    #[prost(fixed64, repeated, tag = "6")]
    servers: Vec<u64>,
}

/// Encodes a notice; `None` if it is empty.
pub(crate) fn encode(notice: &relay::CrashNotice) -> Option<CrashMessage> {
    let sources = || notice.reports.iter().map(|report| report.source);
    let message = CrashMessage {
        suspects: notice.reports.iter().map(|report| report.suspect).collect(),
        requests: sources().map(|source| source.request).collect(),
        servers: sources().map(|source| source.server).collect(),
        cleared: notice.cleared.clone(),
        quarantined: notice
            .quarantined
            .iter()
            .map(|(suspect, _)| *suspect)
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
    let servers = message.servers.into_iter().chain(std::iter::repeat(0));
    let sources = message
        .requests
        .into_iter()
        .zip(servers)
        .map(|(request, server)| relay::CrashSource { request, server });
    let reports = message.suspects.into_iter().zip(sources);
    let quarantined = message.quarantined.into_iter().zip(message.remaining_ms);
    relay::CrashNotice {
        reports: reports
            .map(|(suspect, source)| relay::CrashReport { suspect, source })
            .collect(),
        cleared: message.cleared,
        quarantined: quarantined
            .map(|(suspect, millis)| (suspect, time::Duration::from_millis(millis.into())))
            .collect(),
    }
}
