//! What an instance does.

use std::{sync, time};

/// What an instance does.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer.
    Send(ids::InstanceId, wire::PeerMessage),
    /// Read the platform's list of instances.
    ReadList,
    /// Read the notes after a revision from the configuration service.
    ReadService(ids::Revision),
    /// Wait at the configuration service for notes after a revision.
    WatchService(ids::Revision),
    /// Use a state that has come into force.
    InForce(sync::Arc<note::StateInForce>),
    /// Report a refused note.
    NoteRefused(ids::Revision, note::RefusalReason),
    /// Report a peer with another state at the same revision: own summary, then the peer's.
    NotesDiverged(ids::InstanceId, spread::Summary, spread::Summary),
    /// Use a changed membership.
    ViewChanged(sync::Arc<member::MemberView>),
    /// Read a prompt at an engine.
    Prefill {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::AttemptNumber,
        /// The engine.
        engine: ids::ServerName,
    },
    /// Move a KV cache to an engine.
    Import {
        /// The engine that imports.
        engine: ids::ServerName,
        /// The transfer.
        job: border::TransferJob,
    },
    /// Start or resume a stream of tokens.
    Decode {
        /// The engine.
        engine: ids::ServerName,
        /// The generation.
        job: border::DecodeJob,
    },
    /// End an attempt at an engine and free its memory.
    Cancel(ids::ServerName, ids::RequestId, ids::AttemptNumber),
    /// Count prompt tokens whose prefill was wasted.
    PrefillWasted(u32, flow::WasteCause),
    /// Answer the caller of a model request.
    FinishRequest(ids::RequestId, flow::FlowOutcome),
    /// Send a call to a backend server, once, unless it is later than `start_within`.
    Attempt {
        /// The call.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::AttemptNumber,
        /// The backend server.
        server: ids::ServerName,
        /// Time left to answer.
        time_left: time::Duration,
        /// Time within which the first byte may leave.
        start_within: time::Duration,
    },
    /// Answer the caller of a call.
    FinishCall(ids::RequestId, call::CallOutcome),
    /// Read an engine's load report.
    ReadLoad(ids::ServerName),
    /// Read an engine's running list.
    ReadRunning(ids::ServerName),
    /// Read an engine's cache events after a sequence number.
    ReadCacheEvents(ids::ServerName, u64),
    /// Read an engine's status.
    ReadStatus(ids::ServerName),
    /// Give an engine an order, unless its first byte would leave later than the given time.
    Order(ids::ServerName, border::EngineOrder, time::Duration),
}
