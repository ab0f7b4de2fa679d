//! One request's claim of its key, as the entry counts the answers.

use std::collections;

use crate::{call_failure, claim_quorum, claim_state};

/// What a round of claims has come to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoundVerdict {
    /// More answers are needed.
    Open,
    /// The call may run.
    Granted,
    /// The call must not run under this request.
    Refused(border::Outcome, call_failure::CallFailure),
}

/// One request's claim of its key.
#[derive(Clone, Debug)]
pub struct ClaimRound {
    /// When the first message of the round left.
    pub sent: clock::Timestamp,
    /// Whether the messages have been repeated.
    pub repeated: bool,
    /// Instances that were asked.
    pub witnesses: Vec<ids::InstanceId>,
    quorum: claim_quorum::ClaimQuorum,
    answers: collections::BTreeMap<ids::InstanceId, (claim_state::ClaimState, bool)>,
}

impl ClaimRound {
    /// Makes a round without answers.
    pub const fn new(
        sent: clock::Timestamp,
        witnesses: Vec<ids::InstanceId>,
        quorum: claim_quorum::ClaimQuorum,
    ) -> Self {
        Self {
            sent,
            repeated: false,
            witnesses,
            quorum,
            answers: collections::BTreeMap::new(),
        }
    }

    /// Counts an answer; a witness's later answer replaces its earlier one.
    pub fn count(
        &mut self,
        witness: ids::InstanceId,
        state: claim_state::ClaimState,
        confirmed: bool,
    ) {
        if self.witnesses.contains(&witness) {
            self.answers.insert(witness, (state, confirmed));
        }
    }

    /// Returns the witnesses that haven't answered.
    pub fn silent(&self) -> impl Iterator<Item = ids::InstanceId> {
        self.witnesses
            .iter()
            .copied()
            .filter(|witness| !self.answers.contains_key(witness))
    }

    /// Returns what the answers so far come to.
    pub fn verdict(&self) -> RoundVerdict {
        let acks = self.number(|state, _| state == claim_state::ClaimState::Granted);
        let vouchers =
            self.number(|state, confirmed| state == claim_state::ClaimState::Granted && confirmed);
        if self.holds(claim_state::ClaimState::Ran) {
            return RoundVerdict::Refused(border::Outcome::Ran, call_failure::CallFailure::KeyUsed);
        }
        if acks >= self.quorum.acks && vouchers >= self.quorum.vouchers {
            return RoundVerdict::Granted;
        }
        let open = self.witnesses.len() - self.answers.len();
        if acks + open >= self.quorum.acks && vouchers + open >= self.quorum.vouchers {
            return RoundVerdict::Open;
        }
        self.refusal()
    }

    /// Returns why the claim fails when no more answers come.
    ///
    /// A witness that holds the key for another request doesn't tell whether that request ran,
    /// so the outcome is unknown unless a witness has it as run.
    pub fn refusal(&self) -> RoundVerdict {
        let failure = if self.holds(claim_state::ClaimState::Mismatch) {
            call_failure::CallFailure::KeyMismatch
        } else if self.holds(claim_state::ClaimState::Running) {
            call_failure::CallFailure::KeyInUse
        } else {
            call_failure::CallFailure::KeyUncertain
        };
        RoundVerdict::Refused(border::Outcome::Unknown, failure)
    }

    fn holds(&self, wanted: claim_state::ClaimState) -> bool {
        self.answers.values().any(|(state, _)| *state == wanted)
    }

    fn number(&self, counts: impl Fn(claim_state::ClaimState, bool) -> bool) -> usize {
        self.answers
            .values()
            .filter(|(state, confirmed)| counts(*state, *confirmed))
            .count()
    }
}
