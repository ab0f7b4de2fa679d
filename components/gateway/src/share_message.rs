//! Encodes what instances tell each other of the usage by workspaces.

/// Usage of one service by one workspace in a state update.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ShareMessage {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    service: u64,
    /// Hash of the workspace's name, 0 for requests without a workspace.
    #[prost(fixed64, tag = "2")]
    workspace: u64,
    /// Tokens of the requests that the sender has placed, decayed up to the time of the update.
    #[prost(uint32, tag = "3")]
    tokens: u32,
}

/// Encodes a report.
pub(crate) fn encode(report: &relay::ShareReport) -> ShareMessage {
    ShareMessage {
        service: report.service,
        workspace: report.workspace.0,
        tokens: report.tokens,
    }
}

/// Decodes a report.
pub(crate) fn decode(message: &ShareMessage) -> relay::ShareReport {
    relay::ShareReport {
        service: message.service,
        workspace: relay::WorkspaceKey(message.workspace),
        tokens: message.tokens,
    }
}
