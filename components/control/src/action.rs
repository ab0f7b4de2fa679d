//! Actions that the control core requests from its driver.

use std::{sync, time};

/// Actions that the control core requests from its driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message to a peer.
    Send(ids::InstanceId, wire::PeerMessage),
    /// Read the platform's instance list.
    ReadList,
    /// Read the release notes after this revision from the configuration service.
    ReadService(ids::Revision),
    /// Watch the configuration service for release notes after this revision.
    WatchService(ids::Revision),
    /// Adopt a state that has come into force.
    InForce(sync::Arc<note::StateInForce>),
    /// Report a refused release note.
    NoteRefused(ids::Revision, note::RefusalReason),
    /// Report a peer with a different state at the same revision: own summary, then the peer's.
    NotesDiverged(ids::InstanceId, spread::Summary, spread::Summary),
    /// Adopt a changed membership view.
    ViewChanged(sync::Arc<member::MemberView>),
    /// Start a prefill at an engine.
    Prefill {
        /// Request whose prompt is prefilled.
        request: ids::RequestId,
        /// Attempt of the request.
        attempt: ids::AttemptNumber,
        /// Engine that runs the prefill.
        engine: ids::ServerName,
    },
    /// Import a KV cache into an engine.
    Import {
        /// Engine that imports the KV cache.
        engine: ids::ServerName,
        /// Attempt, source and size of the transfer.
        job: border::TransferJob,
    },
    /// Start or resume a stream of tokens.
    Decode {
        /// Engine that decodes.
        engine: ids::ServerName,
        /// Attempt, first token offset and length limit of the stream.
        job: border::DecodeJob,
    },
    /// Cancel an attempt at an engine and free the attempt's KV cache memory.
    Cancel(ids::ServerName, ids::RequestId, ids::AttemptNumber),
    /// Count prompt tokens whose prefill result was not used.
    PrefillWasted(u32, flow::WasteCause),
    /// Send the outcome of a model request to its caller.
    FinishRequest(ids::RequestId, flow::FlowOutcome),
    /// Send one attempt of a call to a backend server, unless `start_within` has passed.
    Attempt {
        /// Call that the attempt belongs to.
        request: ids::RequestId,
        /// Number of the attempt.
        attempt: ids::AttemptNumber,
        /// Backend server that the call is sent to.
        server: ids::ServerName,
        /// Time left until the deadline of the call.
        time_left: time::Duration,
        /// Time within which the first byte must be sent, counted from the time at which the core
        /// handled the event.
        start_within: time::Duration,
    },
    /// Send the outcome of a call to its caller.
    FinishCall(ids::RequestId, call::CallOutcome),
    /// Read an engine's load report.
    ReadLoad(ids::ServerName),
    /// Read the list of requests that an engine runs.
    ReadRunning(ids::ServerName),
    /// Read an engine's cache events after a sequence number.
    ReadCacheEvents(ids::ServerName, u64),
    /// Read an engine's status.
    ReadStatus(ids::ServerName),
    /// Send an order to an engine, unless the duration has passed before the first byte of the
    /// request is sent; the duration counts from the time at which the core handled the event.
    Order(ids::ServerName, border::EngineOrder, time::Duration),
}
