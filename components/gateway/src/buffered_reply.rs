//! A complete reply of a backend server.

use futures_util::StreamExt as _;

use crate::{relay_client, run_evidence};

/// Maximum size of a body that is held in memory, in bytes.
const MAX_BUFFERED_BYTES: usize = 4 * 1024 * 1024;

/// Statuses that tell callers that the request didn't run and never will.
const NOT_RUN_STATUSES: [http::StatusCode; 3] = [
    http::StatusCode::REQUEST_TIMEOUT,
    http::StatusCode::TOO_MANY_REQUESTS,
    http::StatusCode::SERVICE_UNAVAILABLE,
];

/// A complete reply of a backend server.
pub(crate) struct BufferedReply {
    pub(crate) status: http::StatusCode,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: bytes::Bytes,
    pub(crate) evidence: run_evidence::RunEvidence,
}

impl BufferedReply {
    /// Returns whether callers would take the status for a proof that the request didn't run, although
    /// the server doesn't report that.
    pub(crate) fn implies_not_run(&self) -> bool {
        !self.evidence.proves_not_run() && NOT_RUN_STATUSES.contains(&self.status)
    }

    /// Returns the outcome at the server if it refused the request.
    pub(crate) fn refusal_outcome(&self) -> Option<relay::BackendOutcome> {
        self.evidence.proof?;
        let is_misdirected = self.status == http::StatusCode::MISDIRECTED_REQUEST;
        // Another server runs at the address: the expected one is gone.
        Some(if is_misdirected && self.evidence.proves_not_run() {
            relay::BackendOutcome::Unreachable
        } else {
            relay::BackendOutcome::Refused
        })
    }
}

/// Reads the whole body of a reply into a share of the memory for answers.
pub(crate) async fn collect(
    reply: relay_client::RelayReply,
    share: client::AnswerShare,
) -> Result<BufferedReply, border::BorderError> {
    let evidence = reply.evidence();
    let mut body = reply.body;
    let mut held = client::HeldAnswer::new(share);
    while let Some(chunk) = body.next().await {
        held.push(&chunk?).await?;
        if held.len() > MAX_BUFFERED_BYTES {
            return Err(border::BorderError::Malformed {
                detail: format!("the answer exceeds {MAX_BUFFERED_BYTES} bytes"),
            });
        }
    }
    Ok(BufferedReply {
        status: reply.status,
        headers: reply.headers,
        body: held.freeze(),
        evidence,
    })
}

/// Returns the outcome of a request that failed with an error.
pub(crate) const fn outcome_of(error: &border::BorderError) -> relay::BackendOutcome {
    match error {
        border::BorderError::NotSent { .. } | border::BorderError::Gone { .. } => {
            relay::BackendOutcome::Unreachable
        }
        border::BorderError::Refused { .. } => relay::BackendOutcome::Refused,
        _ => relay::BackendOutcome::Broken,
    }
}
