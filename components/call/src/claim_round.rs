//! Claim of a request's key at its witnesses, with their answers.

use std::collections;

use crate::{call_failure, claim_quorum, claim_state};

/// Status of a claim round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoundStatus {
    /// More answers are required.
    Open,
    /// The call may run.
    Granted,
    /// The call must not run under this request.
    Refused(border::Outcome, call_failure::CallFailure),
}

/// Claim of a request's key at its witnesses, with their answers.
#[derive(Clone, Debug)]
pub struct ClaimRound {
    /// Time at which the first message of the round was sent.
    pub sent_at: clock::Timestamp,
    /// Whether the claim has been sent again.
    pub retried: bool,
    /// Instances to which the claim was sent.
    pub witnesses: Vec<ids::InstanceId>,
    quorum: claim_quorum::ClaimQuorum,
    answers: collections::BTreeMap<ids::InstanceId, (claim_state::ClaimState, bool)>,
}

impl ClaimRound {
    /// Creates a round without answers.
    pub const fn new(
        sent_at: clock::Timestamp,
        witnesses: Vec<ids::InstanceId>,
        quorum: claim_quorum::ClaimQuorum,
    ) -> Self {
        Self {
            sent_at,
            retried: false,
            witnesses,
            quorum,
            answers: collections::BTreeMap::new(),
        }
    }

    /// Records an answer; a later answer of a witness replaces its earlier one.
    pub fn record_answer(
        &mut self,
        witness: ids::InstanceId,
        state: claim_state::ClaimState,
        confirmed: bool,
    ) {
        if self.witnesses.contains(&witness) {
            self.answers.insert(witness, (state, confirmed));
        }
    }

    /// Returns the witnesses that have not answered.
    pub fn unanswered(&self) -> impl Iterator<Item = ids::InstanceId> {
        self.witnesses
            .iter()
            .copied()
            .filter(|witness| !self.answers.contains_key(witness))
    }

    /// Returns the status according to the answers received so far.
    pub fn status(&self) -> RoundStatus {
        let acks = self.count_answers(|state, _| state == claim_state::ClaimState::Granted);
        let confirmations = self.count_answers(|state, confirmed| {
            state == claim_state::ClaimState::Granted && confirmed
        });
        if self.has_answer(claim_state::ClaimState::Ran) {
            return RoundStatus::Refused(border::Outcome::Ran, call_failure::CallFailure::KeyUsed);
        }
        if acks >= self.quorum.acks && confirmations >= self.quorum.confirmations {
            return RoundStatus::Granted;
        }
        let outstanding = self.witnesses.len() - self.answers.len();
        if acks + outstanding >= self.quorum.acks
            && confirmations + outstanding >= self.quorum.confirmations
        {
            return RoundStatus::Open;
        }
        self.refusal()
    }

    /// Returns the refusal of a claim for which no more answers are expected.
    ///
    /// A witness that holds the key for another request does not report whether that request ran.
    /// The outcome is therefore unknown unless a witness has recorded that the call ran.
    pub fn refusal(&self) -> RoundStatus {
        let failure = if self.has_answer(claim_state::ClaimState::Mismatch) {
            call_failure::CallFailure::KeyMismatch
        } else if self.has_answer(claim_state::ClaimState::Running) {
            call_failure::CallFailure::KeyInUse
        } else {
            call_failure::CallFailure::KeyUncertain
        };
        RoundStatus::Refused(border::Outcome::Unknown, failure)
    }

    fn has_answer(&self, expected: claim_state::ClaimState) -> bool {
        self.answers.values().any(|(state, _)| *state == expected)
    }

    fn count_answers(&self, is_counted: impl Fn(claim_state::ClaimState, bool) -> bool) -> usize {
        self.answers
            .values()
            .filter(|(state, confirmed)| is_counted(*state, *confirmed))
            .count()
    }
}
