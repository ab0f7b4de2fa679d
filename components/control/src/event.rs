//! Events that the driver passes to the control core.

/// Events that the driver passes to the control core.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time returned by [`crate::ControlCore::next_wake`] has been reached.
    Wake,
    /// A peer sent a message.
    Peer(ids::InstanceId, wire::PeerMessage),
    /// The platform's instance list was read.
    Listed(Vec<border::InstanceEntry>),
    /// The configuration service responded to a read or a watch; `None` when the call failed.
    ServiceResponded(Option<Vec<border::NoteValue>>),
    /// The weight store reported its limit, in loads per minute.
    WeightLoadLimit(u32),
    /// A model request arrived from a caller.
    RequestArrived(flow::FlowSpec),
    /// A call to a plain service arrived from a caller.
    CallArrived(call::CallSpec),
    /// A caller closed its connection.
    CallerGone(ids::RequestId),
    /// A prefill finished or failed.
    Prefilled(
        ids::RequestId,
        ids::AttemptNumber,
        Result<border::PrefillResult, border::BorderError>,
    ),
    /// A KV cache transfer finished or failed.
    Imported(
        ids::RequestId,
        ids::AttemptNumber,
        Result<(), border::BorderError>,
    ),
    /// All tokens before the given offset were delivered to the caller.
    Delivered(ids::RequestId, ids::AttemptNumber, u32),
    /// A token stream ended; all tokens before the given offset were delivered to the caller.
    DecodeEnded(
        ids::RequestId,
        ids::AttemptNumber,
        u32,
        Result<border::FinishReason, border::BorderError>,
    ),
    /// An attempt of a call finished or failed.
    AttemptEnded(ids::RequestId, ids::AttemptNumber, call::AttemptResult),
    /// An engine's load report was read; `None` when the read failed.
    Load(ids::ServerName, Option<border::LoadReport>),
    /// The list of requests that an engine runs was read; `None` when the read failed.
    Running(ids::ServerName, Option<Vec<border::RunningEntry>>),
    /// An engine's cache events were read.
    CacheEvents(ids::ServerName, Vec<border::CacheEvent>),
    /// An engine's status was read; `None` when the read failed.
    Status(ids::ServerName, Option<border::EngineStatus>),
    /// An engine responded to the order with this number; `None` when the response was lost.
    OrderAnswered(ids::ServerName, u64, Option<border::OrderAnswer>),
    /// The operator or the platform requested that this instance drains.
    DrainStarted,
}
