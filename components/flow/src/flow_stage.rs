//! How far a model request has come.

/// How far a model request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FlowStage {
    /// A cell owner was asked for a placement.
    Asking,
    /// A placement is granted; prefill starts later.
    Waiting {
        /// When prefill starts.
        start_at: clock::Timestamp,
    },
    /// The prompt is being read.
    Prefilling,
    /// The KV cache moves to the decode engine.
    Importing,
    /// A cell owner was asked for another decode engine.
    Retargeting,
    /// Tokens are generated.
    Decoding,
}
