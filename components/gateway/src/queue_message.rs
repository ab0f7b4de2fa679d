//! Encodes waiting requests in state updates.

use std::time;

/// A request in the wait queue of an instance.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct QueueMessage {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(bool, tag = "2")]
    resumes: bool,
    #[prost(uint32, tag = "3")]
    priority: u32,
    #[prost(uint32, tag = "4")]
    held: u32,
    #[prost(uint32, tag = "5")]
    remaining: u32,
    /// Time until the first token is due; negative when it is overdue.
    #[prost(sint32, tag = "6")]
    due_in_ms: i32,
    /// Time within which a placement still leads to a first token on time.
    #[prost(uint32, tag = "7")]
    timely_for_ms: u32,
    /// Seed of the engine selection, the same on all instances.
    #[prost(fixed32, tag = "8")]
    selection_seed: u32,
    /// Hash of the software version to which the request is bound.
    #[prost(fixed64, optional, tag = "9")]
    software_version: Option<u64>,
    /// Hash of the workspace's name; 0 without a workspace and from instances that don't send it.
    #[prost(fixed64, tag = "10")]
    workspace: u64,
}

/// Encodes a waiting request.
pub(crate) fn encode(update: &relay::QueueUpdate) -> QueueMessage {
    QueueMessage {
        service: update.service,
        resumes: update.resumes,
        priority: u32::from(update.priority),
        held: update.load.held,
        remaining: update.load.remaining,
        due_in_ms: update.due_in_millis,
        timely_for_ms: crate::peer_message::whole_millis(update.timely_for),
        selection_seed: update.selection_seed,
        software_version: update.software_version,
        workspace: update.workspace.0,
    }
}

/// Decodes a waiting request.
pub(crate) fn decode(message: &QueueMessage) -> relay::QueueUpdate {
    relay::QueueUpdate::builder()
        .service(message.service)
        .resumes(message.resumes)
        .priority(u8::try_from(message.priority).unwrap_or(u8::MAX))
        .load(relay::StreamLoad {
            held: message.held,
            remaining: message.remaining,
        })
        .due_in_millis(message.due_in_ms)
        .timely_for(time::Duration::from_millis(u64::from(
            message.timely_for_ms,
        )))
        .selection_seed(message.selection_seed)
        .maybe_software_version(message.software_version)
        .workspace(relay::WorkspaceKey(message.workspace))
        .build()
}
