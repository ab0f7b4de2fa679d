//! What happens to an instance.

/// What happens to an instance.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time asked for by [`crate::ControlCore::next_wake`] has come.
    Wake,
    /// A peer sent a message.
    Peer(ids::InstanceId, wire::PeerMessage),
    /// The platform's list of instances was read.
    Listed(Vec<border::InstanceEntry>),
    /// The configuration service answered a read or a watch; `None` when it failed.
    ServiceAnswered(Option<Vec<border::NoteValue>>),
    /// The weight store told its limit, in loads a minute.
    WeightLimit(u32),
    /// A caller's model request arrived.
    RequestArrived(flow::FlowSpec),
    /// A caller's call to a plain service arrived.
    CallArrived(call::CallSpec),
    /// A caller closed its connection.
    CallerGone(ids::RequestId),
    /// A prefill ended.
    Prefilled(
        ids::RequestId,
        ids::AttemptNumber,
        Result<border::PrefillResult, border::BorderError>,
    ),
    /// A transfer ended.
    Imported(
        ids::RequestId,
        ids::AttemptNumber,
        Result<(), border::BorderError>,
    ),
    /// A caller has received all tokens below this offset.
    Delivered(ids::RequestId, ids::AttemptNumber, u32),
    /// A stream of tokens ended; the caller has received all tokens below the offset.
    DecodeEnded(
        ids::RequestId,
        ids::AttemptNumber,
        u32,
        Result<border::FinishReason, border::BorderError>,
    ),
    /// An attempt of a call ended.
    AttemptEnded(ids::RequestId, ids::AttemptNumber, call::AttemptResult),
    /// An engine's load report was read; `None` when that failed.
    Load(ids::ServerName, Option<border::LoadReport>),
    /// An engine's running list was read; `None` when that failed.
    Running(ids::ServerName, Option<Vec<border::RunningEntry>>),
    /// An engine's cache events were read.
    CacheEvents(ids::ServerName, Vec<border::CacheEvent>),
    /// An engine's status was read; `None` when that failed.
    Status(ids::ServerName, Option<border::EngineStatus>),
    /// An engine answered an order; `None` when the answer was lost.
    OrderAnswered(ids::ServerName, u64, Option<border::OrderAnswer>),
    /// The operator or the platform asked this instance to drain.
    DrainBegan,
}
