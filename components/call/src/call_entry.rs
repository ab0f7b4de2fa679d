//! State of one call.

use std::time;

use crate::{call_spec, claim_round, claim_state, fair_queue};

/// Time after the claim for which a call may rely on the witnesses' records.
///
/// It is shorter than the time for which any witness keeps a claim.
const CLAIM_VALIDITY: time::Duration = time::Duration::from_secs(30);

/// Phase of a call.
#[derive(Clone, Debug)]
pub enum CallPhase {
    /// The call waits for a server.
    Queued(fair_queue::QueueTicket),
    /// The call holds capacity at a server and waits for the witnesses of its key.
    Claiming,
    /// An attempt is at a server.
    Sent,
}

/// State of one call.
#[derive(Clone, Debug)]
pub struct CallEntry {
    /// Properties of the call at arrival.
    pub spec: call_spec::CallSpec,
    /// Arrival time of the call.
    pub arrived_at: clock::Timestamp,
    /// Time by which the caller must be answered.
    pub deadline: clock::Timestamp,
    /// Phase of the call.
    pub phase: CallPhase,
    /// Number of the next attempt.
    pub next_attempt: ids::AttemptNumber,
    /// Server with capacity reserved for the call or with a running attempt.
    pub server: Option<ids::ServerName>,
    /// Time at which the last attempt was sent.
    pub sent_at: clock::Timestamp,
    /// Server of the previous attempt, which a retry avoids.
    pub failed_server: Option<ids::ServerName>,
    /// Whether a previous attempt may have run.
    pub may_have_run: bool,
    /// Claim of the call's key, once it has been sent.
    pub claim: Option<claim_round::ClaimRound>,
    /// Whether the caller was answered or has disconnected; the call stays until its attempt ends.
    pub answered: bool,
    /// Time of the next timeout of the call.
    pub timer: clock::Timestamp,
}

impl CallEntry {
    /// Creates the state of a call that has just arrived.
    ///
    /// The phase is [`CallPhase::Claiming`] until the call is queued, since a call that is refused on
    /// arrival has no queue ticket.
    pub const fn new(
        spec: call_spec::CallSpec,
        arrived_at: clock::Timestamp,
        deadline: clock::Timestamp,
    ) -> Self {
        Self {
            spec,
            arrived_at,
            deadline,
            phase: CallPhase::Claiming,
            next_attempt: ids::AttemptNumber(0),
            server: None,
            sent_at: arrived_at,
            failed_server: None,
            may_have_run: false,
            claim: None,
            answered: false,
            timer: deadline,
        }
    }

    /// Returns the claim state sent to the witnesses when the call ends without an answer.
    pub const fn settled_state(&self) -> claim_state::ClaimState {
        if self.may_have_run {
            claim_state::ClaimState::Unknown
        } else {
            claim_state::ClaimState::NotRun
        }
    }

    /// Returns the time until which the call may wait for a server.
    ///
    /// Half of the call's time is reserved for running it.
    pub fn queue_deadline(&self) -> clock::Timestamp {
        self.arrived_at + self.spec.time_left / 2
    }

    /// Returns whether the call may run more than once.
    pub const fn is_idempotent(&self) -> bool {
        self.spec.idempotent
    }

    /// Returns the key that must be claimed before the call runs.
    pub fn claim_key(&self) -> Option<crate::ClaimKey> {
        self.spec.key.filter(|_| !self.spec.idempotent)
    }

    /// Returns whether the witnesses hold the key for this call and cannot have dropped the claim.
    pub fn holds_claim(&self, now: clock::Timestamp) -> bool {
        self.claim.as_ref().is_some_and(|round| {
            let granted = round.status() == claim_round::RoundStatus::Granted;
            granted && now.since(round.sent_at) < CLAIM_VALIDITY
        })
    }

    /// Returns the proven outcome when the call ends without an answer and without another attempt.
    ///
    /// When the call does not hold the claim of its key, another request may have run it.
    pub fn proven_outcome(&self, now: clock::Timestamp) -> border::Outcome {
        let held = self.claim_key().is_none() || self.holds_claim(now);
        if self.may_have_run || !held {
            border::Outcome::Unknown
        } else {
            border::Outcome::NotRun
        }
    }
}
