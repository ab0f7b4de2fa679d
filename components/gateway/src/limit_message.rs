//! Encodes what instances tell each other of servers' rate limits.

use std::time;

use crate::peer_message;

/// Report on the rate limit of one server in a state update.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LimitMessage {
    /// Hash of the server's incarnation.
    #[prost(fixed64, tag = "1")]
    server: u64,
    /// Time since the newest answer of the server to the sender; absent without such an answer.
    #[prost(uint32, optional, tag = "2")]
    age_ms: Option<u32>,
    /// Requests per second in that answer; absent if it names no limit.
    #[prost(double, optional, tag = "3")]
    rate: Option<f64>,
    /// Requests that the sender has sent to the server.
    #[prost(uint32, tag = "4")]
    requests: u32,
    /// Time since the sender began to count them.
    #[prost(uint32, tag = "5")]
    counted_for_ms: u32,
}

/// Encodes a report.
pub(crate) fn encode(report: &relay::LimitReport) -> LimitMessage {
    let observation = report.observation;
    LimitMessage {
        server: report.server,
        age_ms: observation.map(|observation| peer_message::whole_millis(observation.age)),
        rate: observation.and_then(|observation| observation.rate),
        requests: report.requests,
        counted_for_ms: peer_message::whole_millis(report.counted_for),
    }
}

/// Decodes a report. A rate that isn't a number of requests is that of an answer without a limit.
pub(crate) fn decode(message: &LimitMessage) -> relay::LimitReport {
    let rate = message.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    relay::LimitReport {
        server: message.server,
        observation: message.age_ms.map(|age| relay::LimitObservation {
            rate,
            age: time::Duration::from_millis(age.into()),
        }),
        requests: message.requests,
        counted_for: time::Duration::from_millis(message.counted_for_ms.into()),
    }
}
