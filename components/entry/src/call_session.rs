//! The traffic side of a call.

use std::{collections, sync, time};

use tokio::sync::oneshot;

/// How a call ended, with the answer that the caller receives.
pub(crate) type CallEnd = (call::CallOutcome, Option<border::CallReply>);

/// What a call sends to a backend server.
#[derive(Clone, Debug, bon::Builder)]
pub(crate) struct CallSource {
    pub(crate) request: ids::RequestId,
    pub(crate) method: http::Method,
    pub(crate) target: String,
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: bytes::Bytes,
    pub(crate) trace: border::TraceParent,
    pub(crate) span: tracing::Span,
}

/// The traffic side of a call: what to send and the way back to its caller.
pub struct CallSession {
    source: CallSource,
    replies: sync::Mutex<collections::BTreeMap<ids::AttemptNumber, border::CallReply>>,
    end: sync::Mutex<Option<oneshot::Sender<CallEnd>>>,
}

impl CallSession {
    /// Makes a session and what its caller's handler reads from.
    pub(crate) fn new(source: CallSource) -> (sync::Arc<Self>, oneshot::Receiver<CallEnd>) {
        let (sender, end) = oneshot::channel();
        let session = Self {
            source,
            replies: sync::Mutex::default(),
            end: sync::Mutex::new(Some(sender)),
        };
        (sync::Arc::new(session), end)
    }

    /// Returns the trace of the call.
    #[must_use]
    pub const fn trace(&self) -> border::TraceParent {
        self.source.trace
    }

    /// Makes the job of an attempt.
    #[must_use]
    pub fn job(
        &self,
        attempt: ids::AttemptNumber,
        time_left: time::Duration,
        start_by: clock::Timestamp,
    ) -> border::CallJob {
        border::CallJob::builder()
            .request(self.source.request)
            .attempt(attempt)
            .method(self.source.method.clone())
            .target(self.source.target.clone())
            .headers(self.source.headers.clone())
            .body(self.source.body.clone())
            .time_left(time_left)
            .start_by(start_by)
            .build()
    }

    /// Keeps the reply to an attempt until the core decides which one the caller receives.
    pub fn keep_reply(&self, attempt: ids::AttemptNumber, reply: border::CallReply) {
        lock(&self.replies).insert(attempt, reply);
    }

    /// Tells the caller's handler how the call ended; only the first call counts.
    pub fn finish(&self, outcome: call::CallOutcome) {
        let reply = match &outcome {
            call::CallOutcome::Answered(attempt) => lock(&self.replies).remove(attempt),
            call::CallOutcome::Failed { .. } => None,
        };
        let proved = match &outcome {
            call::CallOutcome::Answered(_) => border::Outcome::Ran,
            call::CallOutcome::Failed { outcome, .. } => *outcome,
        };
        if let Some(end) = lock(&self.end).take() {
            self.source.span.record("outcome", proved.to_string());
            // The handler may be gone with its caller.
            let _ = end.send((outcome, reply));
        }
    }
}

fn lock<Value>(mutex: &sync::Mutex<Value>) -> sync::MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
