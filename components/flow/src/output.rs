//! What a flow table asks for.

use crate::{flow_outcome, waste_cause};

/// What a flow table asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a cell owner, which may be this instance.
    Send(ids::InstanceId, place::Message),
    /// Read the prompt, with what was delivered of the answer, at an engine.
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
    /// Start or resume the stream of tokens at an engine.
    Decode {
        /// The engine.
        engine: ids::ServerName,
        /// The generation.
        job: border::DecodeJob,
    },
    /// End an attempt at an engine and free its memory.
    Cancel(ids::ServerName, ids::RequestId, ids::AttemptNumber),
    /// Report prompt tokens whose prefill was wasted.
    Wasted(u32, waste_cause::WasteCause),
    /// Answer the caller and forget the request.
    Finish(ids::RequestId, flow_outcome::FlowOutcome),
}
