//! Refusal of a request.

use std::time;

/// Reason of a refusal.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// No configuration has been received yet.
    NoConfig,
    /// No backend server of the service accepts work.
    NoServer,
    /// All servers of the service have asked to be sent nothing for a while.
    Backoff,
    /// All servers of the service have received as many requests as their rate limits allow.
    RateLimit,
    /// The request is beyond the limit of its workspace.
    WorkspaceLimit,
    /// The queued work leaves no time to answer before the deadline.
    Overload,
    /// No capacity became free while the request waited in the queue.
    #[strum(serialize = "waited_out")]
    QueueTimeout,
    /// The retry bound is exhausted.
    RetryBound,
    /// The request, or a segment of its prompt, crashes servers.
    Quarantine,
    /// Engines of several software versions serve, and no instance knows which version began the
    /// stream, or would know it of a stream that begins now.
    VersionUnknown,
    /// No engine of the software version that began the stream is left.
    VersionGone,
    /// The instance is draining.
    ShuttingDown,
}

/// Refusal of a request that was not run and will not be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Delay after which a retry by the caller is expected to succeed.
    pub retry_after: time::Duration,
}
