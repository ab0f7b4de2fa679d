//! Claiming a call's idempotency key before the call runs.

use std::time;

use crate::{
    call_entry, call_failure::CallFailure, claim_key, claim_round, claim_state::ClaimState,
    message, output, service_pool, witness_rank,
};

/// Time after which the claim is sent again to witnesses that have not answered.
const CLAIM_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// Time after which a claim fails; a later answer cannot grant it.
const CLAIM_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Margin added to a key's age for clock skew and message delay.
const CLOCK_MARGIN: time::Duration = time::Duration::from_secs(5);

impl super::CallManager {
    /// Sends a call's claim to the witnesses of its key.
    pub(super) fn start_claim(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        key: claim_key::ClaimKey,
        outputs: &mut Vec<output::Output>,
    ) {
        if !self.has_usable_view() {
            self.fail(now, request, CallFailure::ViewStale, outputs);
            return;
        }
        let witnesses = self.witnesses_of(request, key);
        if witnesses.is_empty() {
            self.fail(now, request, CallFailure::KeyUncertain, outputs);
            return;
        }
        let quorum = self.config.claim_policy.quorum(witnesses.len());
        if let Some(entry) = self.calls.get_mut(&request) {
            entry.claim = Some(claim_round::ClaimRound::new(now, witnesses, quorum));
        }
        self.send_claims(now, request, outputs);
        self.set_timer(request, now + CLAIM_RETRY_INTERVAL);
    }

    /// Sends the claim once more to witnesses that have not answered; fails it after the timeout.
    pub(super) fn retry_claim(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(round) = self
            .calls
            .get_mut(&request)
            .and_then(|entry| entry.claim.as_mut())
        else {
            return;
        };
        let expires_at = round.sent_at + CLAIM_TIMEOUT;
        if now >= expires_at {
            let refusal = round.refusal();
            self.refuse_claim(now, request, refusal, outputs);
            return;
        }
        if !round.retried {
            round.retried = true;
            self.send_claims(now, request, outputs);
        }
        self.set_timer(request, expires_at);
    }

    /// Records a witness's answer and sends the call once the quorum is reached.
    pub(super) fn handle_claimed(
        &mut self,
        now: clock::Timestamp,
        witness: ids::InstanceId,
        (key, request): (claim_key::ClaimKey, ids::RequestId),
        (state, confirmed): (ClaimState, bool),
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        let is_claiming = matches!(entry.phase, call_entry::CallPhase::Claiming);
        if !is_claiming || entry.claim_key() != Some(key) {
            return;
        }
        let Some(round) = &mut entry.claim else {
            return;
        };
        if now >= round.sent_at + CLAIM_TIMEOUT {
            let refusal = round.refusal();
            self.refuse_claim(now, request, refusal, outputs);
            return;
        }
        round.record_answer(witness, state, confirmed);
        match round.status() {
            claim_round::RoundStatus::Open => {}
            claim_round::RoundStatus::Granted => self.send(now, request, outputs),
            refusal => self.refuse_claim(now, request, refusal, outputs),
        }
    }

    /// Fails a call whose claim failed.
    ///
    /// The call was never sent, so the witnesses release the key.
    fn refuse_claim(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        refusal: claim_round::RoundStatus,
        outputs: &mut Vec<output::Output>,
    ) {
        let (proven, failure) = match refusal {
            claim_round::RoundStatus::Refused(proven, failure) => (proven, failure),
            _ => (border::Outcome::Unknown, CallFailure::KeyUncertain),
        };
        let outcome = self.failed_outcome(now, request, proven, failure);
        self.complete(request, outcome, outputs);
    }

    fn send_claims(
        &self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        let (Some(key), Some(round)) = (entry.claim_key(), &entry.claim) else {
            return;
        };
        for witness in round.unanswered() {
            let claim = message::Message::Claim {
                key,
                request,
                fingerprint: entry.spec.fingerprint,
                window: self.earlier_claim_window(now, entry),
            };
            outputs.push(output::Output::Send(witness, claim));
        }
    }

    /// Returns the length of the period before `now` in which the call's key may have been claimed
    /// earlier.
    fn earlier_claim_window(
        &self,
        now: clock::Timestamp,
        entry: &call_entry::CallEntry,
    ) -> time::Duration {
        let retention = self.config.key_retention;
        entry.spec.key_age.map_or(retention, |age| {
            (age + now.since(entry.arrived_at) + CLOCK_MARGIN).min(retention)
        })
    }

    /// Returns the witnesses of a call's key, which are instances of the service's home region.
    fn witnesses_of(
        &self,
        request: ids::RequestId,
        key: claim_key::ClaimKey,
    ) -> Vec<ids::InstanceId> {
        let roster = self
            .calls
            .get(&request)
            .and_then(|entry| self.pools.get(&entry.spec.service))
            .and_then(service_pool::ServicePool::home)
            .and_then(|home| self.rosters.get(home));
        roster.map_or_else(Vec::new, |roster| witness_rank::witnesses(key, roster))
    }
}
