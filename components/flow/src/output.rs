//! Outputs of a flow table.

use crate::{flow_outcome, waste_cause};

/// An action that a flow table requests.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a cell owner, possibly this instance.
    Send(ids::InstanceId, place::Message),
    /// Run prefill of the prompt and the delivered output at an engine.
    Prefill {
        /// The request.
        request: ids::RequestId,
        /// The attempt.
        attempt: ids::AttemptNumber,
        /// The engine.
        engine: ids::ServerName,
    },
    /// Transfer a KV cache to an engine.
    Import {
        /// The engine that imports the cache.
        engine: ids::ServerName,
        /// The transfer job.
        job: border::TransferJob,
    },
    /// Start or resume the token stream at an engine.
    Decode {
        /// The engine.
        engine: ids::ServerName,
        /// The decode job.
        job: border::DecodeJob,
    },
    /// Cancel an attempt at an engine and free its memory.
    Cancel(ids::ServerName, ids::RequestId, ids::AttemptNumber),
    /// Report the number of tokens whose prefill was wasted, and the cause.
    Wasted(u32, waste_cause::WasteCause),
    /// Send the outcome to the caller; the request is finished.
    Finish(ids::RequestId, flow_outcome::FlowOutcome),
}
