//! What a policy decides.

use std::time;

use crate::{keys, refusal_reason};

/// The engines and the time for one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementPlan {
    /// Engine that reads the prompt.
    pub prefill: keys::EngineKey,
    /// Engine that generates the answer.
    pub decode: keys::EngineKey,
    /// Time prefill starts.
    pub start_at: clock::Timestamp,
    /// Time prefill is expected to take.
    pub prefill_span: time::Duration,
    /// Time the transfer is expected to end.
    pub transfer_end: clock::Timestamp,
}

/// What a policy decides about the ask that goes first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyChoice {
    /// Grant the plan.
    Start(PlacementPlan),
    /// Decide again at this time, or when something has changed.
    Wait(clock::Timestamp),
    /// Refuse the ask.
    Refuse(refusal_reason::RefusalReason),
}

/// What a policy decides about an ask that has just come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PolicyVerdict {
    /// The ask may wait for its placement.
    Admit,
    /// The ask is refused.
    Refuse {
        /// Why.
        reason: refusal_reason::RefusalReason,
        /// Time after which asking again may succeed.
        retry_after: time::Duration,
    },
}
