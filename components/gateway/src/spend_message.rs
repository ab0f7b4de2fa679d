//! Encodes what instances tell each other of workspaces' spending.

use std::time;

use crate::peer_message;

/// Report on the spending of one workspace in a state update.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct SpendMessage {
    /// Hash of the workspace's name.
    #[prost(fixed64, tag = "1")]
    workspace: u64,
    /// Units that the sender has drawn, less those given back; wraps around.
    #[prost(uint32, tag = "2")]
    drawn: u32,
    /// Units of the callers whom the sender has told when to return; wraps around.
    #[prost(uint32, tag = "4")]
    booked: u32,
    /// Time since the sender's first draw.
    #[prost(uint32, tag = "3")]
    counted_for_ms: u32,
}

/// Encodes a report.
pub(crate) fn encode(report: &relay::SpendReport) -> SpendMessage {
    SpendMessage {
        workspace: report.workspace,
        drawn: report.count.drawn,
        booked: report.count.booked,
        counted_for_ms: peer_message::whole_millis(report.count.counted_for),
    }
}

/// Decodes a report.
pub(crate) fn decode(message: &SpendMessage) -> relay::SpendReport {
    relay::SpendReport {
        workspace: message.workspace,
        count: budget::DrawCount {
            drawn: message.drawn,
            booked: message.booked,
            counted_for: time::Duration::from_millis(message.counted_for_ms.into()),
        },
    }
}
