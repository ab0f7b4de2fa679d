//! Decisions of a placement policy.

use std::time;

use crate::{keys, refusal_reason};

/// The engines and times selected for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementPlan {
    /// Engine that runs prefill.
    pub prefill: keys::EngineKey,
    /// Engine that runs decode.
    pub decode: keys::EngineKey,
    /// Start of prefill.
    pub start_at: clock::Timestamp,
    /// Expected duration of prefill.
    pub prefill_duration: time::Duration,
    /// Expected end of the transfer.
    pub transfer_end: clock::Timestamp,
}

/// A decision on a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyDecision {
    /// Grant the request according to the plan.
    Start(PlacementPlan),
    /// Decide again at this time, or earlier if the state changes.
    Wait(clock::Timestamp),
    /// Refuse the request.
    Refuse(refusal_reason::RefusalReason),
}

/// A decision on a request that has just arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request may wait for its placement.
    Admit,
    /// The request is refused.
    Refuse {
        /// Reason for the refusal.
        reason: refusal_reason::RefusalReason,
        /// Delay after which a retry may succeed.
        retry_after: time::Duration,
    },
}
