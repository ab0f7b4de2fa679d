//! One request of the plan.

use std::time;

/// What a planned request asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A model request.
    Generation {
        /// Class of the request.
        class: &'static str,
        /// Prompt, which says how long the answer is to be.
        prompt: String,
        /// Length of the whole answer, in tokens.
        output_tokens: u32,
        /// Events after which the caller closes its connection.
        cancel_after: Option<usize>,
    },
    /// An idempotent call.
    Lookup,
    /// A non-idempotent call.
    Confirm {
        /// Whether the caller sends an idempotency key.
        keyed: bool,
    },
}

/// One request of the plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlannedRequest {
    /// Number in the plan.
    pub number: usize,
    /// Workspace of the caller.
    pub workspace: &'static str,
    /// Time of arrival since the start.
    pub at: time::Duration,
    /// What is asked for.
    pub kind: RequestKind,
}
