//! The traffic side of a model request.

use std::sync;

use tokio::sync::{mpsc, oneshot};

use crate::{answer_progress, token_piece};

/// Tokens that may wait for a slow caller.
pub(crate) const WAITING_TOKENS: usize = 64;

/// What a caller's handler receives of a session.
pub(crate) struct AnswerReceiver {
    pub(crate) tokens: mpsc::Receiver<token_piece::TokenPiece>,
    pub(crate) end: oneshot::Receiver<flow::FlowOutcome>,
}

/// What an answer is made from.
#[derive(Clone, Debug, bon::Builder)]
pub(crate) struct AnswerSource {
    pub(crate) request: ids::RequestId,
    pub(crate) model: ids::ModelName,
    pub(crate) adapter: Option<ids::AdapterName>,
    pub(crate) prompt: String,
    pub(crate) priority: u8,
    pub(crate) trace: border::TraceParent,
    pub(crate) span: tracing::Span,
}

/// The traffic side of a model request: its prompt and the way back to its caller.
pub struct AnswerSession {
    source: AnswerSource,
    progress: sync::Mutex<answer_progress::AnswerProgress>,
    tokens: mpsc::Sender<token_piece::TokenPiece>,
    end: sync::Mutex<Option<oneshot::Sender<flow::FlowOutcome>>>,
    pump: sync::Mutex<Option<tokio::task::AbortHandle>>,
}

impl AnswerSession {
    /// Makes a session and what its caller's handler reads from.
    pub(crate) fn new(source: AnswerSource) -> (sync::Arc<Self>, AnswerReceiver) {
        let (token_sender, tokens) = mpsc::channel(WAITING_TOKENS);
        let (end_sender, end) = oneshot::channel();
        let session = Self {
            progress: sync::Mutex::new(answer_progress::AnswerProgress::new(source.request)),
            source,
            tokens: token_sender,
            end: sync::Mutex::new(Some(end_sender)),
            pump: sync::Mutex::default(),
        };
        (sync::Arc::new(session), AnswerReceiver { tokens, end })
    }

    /// Returns the request.
    #[must_use]
    pub const fn request(&self) -> ids::RequestId {
        self.source.request
    }

    /// Returns the trace of the request.
    #[must_use]
    pub const fn trace(&self) -> border::TraceParent {
        self.source.trace
    }

    /// Returns the channel to the caller.
    #[must_use]
    pub const fn tokens(&self) -> &mpsc::Sender<token_piece::TokenPiece> {
        &self.tokens
    }

    /// Returns how far the answer has come.
    pub fn progress(&self) -> sync::MutexGuard<'_, answer_progress::AnswerProgress> {
        lock(&self.progress)
    }

    /// Makes the prefill of an attempt: the prompt and what the caller has of the answer.
    #[must_use]
    pub fn prefill_job(
        &self,
        attempt: ids::AttemptNumber,
        entry: ids::InstanceId,
    ) -> border::PrefillJob {
        let progress = self.progress();
        let prompt = [self.source.prompt.as_str(), progress.text()].concat();
        border::PrefillJob::builder()
            .request(self.source.request)
            .attempt(attempt)
            .entry(entry)
            .model(self.source.model.clone())
            .maybe_adapter(self.source.adapter.clone())
            .prompt(prompt)
            .priority(self.source.priority)
            .build()
    }

    /// Remembers the task that pumps tokens and ends the one before it.
    pub fn replace_pump(&self, pump: tokio::task::AbortHandle) {
        if let Some(earlier) = lock(&self.pump).replace(pump) {
            earlier.abort();
        }
    }

    /// Ends the task that pumps tokens.
    pub fn stop_pump(&self) {
        if let Some(pump) = lock(&self.pump).take() {
            pump.abort();
        }
    }

    /// Tells the caller's handler how the request ended; only the first call counts.
    pub fn finish(&self, outcome: flow::FlowOutcome) {
        let proved = match &outcome {
            flow::FlowOutcome::Answered(_) => border::Outcome::Ran,
            flow::FlowOutcome::Refused { .. } => border::Outcome::NotRun,
            flow::FlowOutcome::Broken { outcome, .. } => *outcome,
        };
        if let Some(end) = lock(&self.end).take() {
            self.source.span.record("outcome", proved.to_string());
            // The handler may be gone with its caller.
            let _ = end.send(outcome);
        }
    }
}

fn lock<Value>(mutex: &sync::Mutex<Value>) -> sync::MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
