//! Why a request can't be served.

use std::time;

/// Why a request can't be served.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfig,
    /// No backend server of the service may receive work.
    NoServer,
    /// The work ahead leaves no time to answer on time.
    Overload,
    /// A place that was waited for didn't become free in time.
    #[strum(serialize = "waited_out")]
    QueueTimeout,
    /// The share of repeats is used up.
    RetryBound,
    /// The instance is shutting down.
    ShuttingDown,
}

/// A refusal: the request was not run and never will be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which a repeat is expected to be served.
    pub retry_after: time::Duration,
}
