//! The stage of a model request.

/// The stage of a model request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FlowStage {
    /// A placement is being requested from a cell owner.
    Requesting,
    /// A placement is granted; prefill starts later.
    Waiting {
        /// Time at which prefill starts.
        start_at: clock::Timestamp,
    },
    /// Prefill is running.
    Prefilling,
    /// The KV cache is being transferred to the decode engine.
    Importing,
    /// Another decode engine is being requested from the cell owner.
    Retargeting,
    /// Tokens are being generated.
    Decoding,
}
