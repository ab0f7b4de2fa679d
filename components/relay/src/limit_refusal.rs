//! Outcome of charging a request to its workspace.

use std::time;

/// Units that a request has drawn on the limit of its workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkspaceCharge {
    /// Workspace, by [`crate::workspace_hash`].
    pub workspace: u64,
    /// Units drawn.
    pub units: u32,
}

/// Refusal of a request beyond the limit of its workspace, with what it was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRefusal {
    /// Delay after which a retry by the caller is expected to succeed.
    pub retry_after: time::Duration,
    /// Units of the request.
    pub units: u32,
    /// Limit in units per second, of all instances.
    pub rate: f64,
    /// Units that an unused limit collects.
    pub burst: f64,
    /// Units left to the instances in touch; negative when they have drawn too many.
    pub left: f64,
    /// Units per second that all instances have drawn recently, as far as this one knows.
    pub spending: f64,
    /// Share of the limit that the instances in touch use.
    pub share: f64,
    /// Age of the oldest count of an instance in touch; `None` if there is none.
    pub known_age: Option<time::Duration>,
}

/// Outcome of charging a request to its workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ChargeOutcome {
    /// The workspace has no limit.
    Unlimited,
    /// The request is within the limit.
    Charged(WorkspaceCharge),
    /// The request is beyond the limit.
    Refused(LimitRefusal),
}
