//! One call in the keeper's hands.

use std::time;

use crate::{call_spec, claim_round, claim_state, fair_queue};

/// Time after its claim in which a call may count on the witnesses' memory, less than any lifetime
/// of a claim there.
const CLAIM_LIFE: time::Duration = time::Duration::from_secs(30);

/// Where a call stands.
#[derive(Clone, Debug)]
pub enum CallPhase {
    /// Waits for a server.
    Queued(fair_queue::QueueTicket),
    /// Holds room at a server and waits for the witnesses of its key.
    Claiming,
    /// An attempt is at a server.
    Sent,
}

/// One call in the keeper's hands.
#[derive(Clone, Debug)]
pub struct CallEntry {
    /// What is known of the call.
    pub spec: call_spec::CallSpec,
    /// When the call arrived.
    pub arrived: clock::Timestamp,
    /// When the caller's time has passed.
    pub deadline: clock::Timestamp,
    /// Where the call stands.
    pub phase: CallPhase,
    /// Number of the next attempt.
    pub attempt: ids::AttemptNumber,
    /// Server where room is held or an attempt is.
    pub server: Option<ids::ServerName>,
    /// When the attempt was handed out.
    pub sent: clock::Timestamp,
    /// Server of the attempt before, which a retry avoids.
    pub failed_server: Option<ids::ServerName>,
    /// Whether an earlier attempt may have run.
    pub may_have_run: bool,
    /// The claim of the call's key, once begun.
    pub claim: Option<claim_round::ClaimRound>,
    /// Whether the caller has its answer or is gone; the entry waits for its attempt to end.
    pub answered: bool,
    /// When the keeper looks at the call next.
    pub timer: clock::Timestamp,
}

impl CallEntry {
    /// Makes the entry of a call that has just arrived.
    pub const fn new(
        spec: call_spec::CallSpec,
        arrived: clock::Timestamp,
        deadline: clock::Timestamp,
    ) -> Self {
        Self {
            spec,
            arrived,
            deadline,
            phase: CallPhase::Claiming,
            attempt: ids::AttemptNumber(0),
            server: None,
            sent: arrived,
            failed_server: None,
            may_have_run: false,
            claim: None,
            answered: false,
            timer: deadline,
        }
    }

    /// Returns what the witnesses are told when the call ends without an answer.
    pub const fn settled(&self) -> claim_state::ClaimState {
        if self.may_have_run {
            claim_state::ClaimState::Unknown
        } else {
            claim_state::ClaimState::NotRun
        }
    }

    /// Returns until when the call may wait for a server, which leaves half of its time to run.
    pub fn wait_until(&self) -> clock::Timestamp {
        self.arrived + self.spec.time_left / 2
    }

    /// Returns whether the call may run more than once.
    pub const fn is_idempotent(&self) -> bool {
        self.spec.idempotent
    }

    /// Returns the key that must be claimed before the call runs.
    pub fn claim_key(&self) -> Option<crate::ClaimKey> {
        self.spec.key.filter(|_| !self.spec.idempotent)
    }

    /// Returns whether the witnesses hold the key for this call and can't have forgotten it.
    pub fn holds_claim(&self, now: clock::Timestamp) -> bool {
        self.claim.as_ref().is_some_and(|round| {
            let granted = round.verdict() == claim_round::RoundVerdict::Granted;
            granted && now.since(round.sent) < CLAIM_LIFE
        })
    }

    /// Returns what is proved when the call ends without an answer and without a further attempt.
    ///
    /// A keyed call that doesn't hold its claim may have run under another request.
    pub fn proved_outcome(&self, now: clock::Timestamp) -> border::Outcome {
        let held = self.claim_key().is_none() || self.holds_claim(now);
        if self.may_have_run || !held {
            border::Outcome::Unknown
        } else {
            border::Outcome::NotRun
        }
    }
}
