//! Result of one attempt of a call.

use crate::{buffered_reply, run_evidence};

/// Result of one attempt.
pub(super) enum AttemptResult {
    /// The server answered; the answer is relayed to the caller.
    Reply(buffered_reply::BufferedReply),
    /// The attempt failed.
    Failed {
        outcome: relay::BackendOutcome,
        /// Evidence that the server didn't run the request.
        evidence: run_evidence::RunEvidence,
        /// Whether the request may have reached the server.
        was_sent: bool,
        error: String,
        /// Whether a retry was already granted when the attempt timed out.
        granted: bool,
        /// Error response of the server, if it may be relayed to the caller.
        reply: Option<buffered_reply::BufferedReply>,
    },
}

/// Returns the result of an attempt that failed without an answer.
pub(super) fn failed_attempt(error: &border::BorderError) -> AttemptResult {
    AttemptResult::Failed {
        outcome: buffered_reply::outcome_of(error),
        evidence: run_evidence::RunEvidence::from(error),
        was_sent: !matches!(error, border::BorderError::NotSent { .. }),
        error: error.to_string(),
        granted: false,
        reply: None,
    }
}
