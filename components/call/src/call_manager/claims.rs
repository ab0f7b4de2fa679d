//! Claiming the key of a call before it runs.

use std::time;

use crate::{
    call_entry, call_failure::CallFailure, claim_key, claim_round, claim_state::ClaimState,
    message, output, service_lane, witness_rank,
};

/// Time after which witnesses that haven't answered are asked again.
const CLAIM_REPEAT: time::Duration = time::Duration::from_millis(150);

/// Time after which a claim is given up; an answer that comes later doesn't count.
const CLAIM_WAIT: time::Duration = time::Duration::from_millis(500);

/// Added to a key's age for differences between clocks and for messages on their way.
const CLOCK_MARGIN: time::Duration = time::Duration::from_secs(5);

impl super::CallManager {
    /// Asks the witnesses of a key to hold it for a call.
    pub(super) fn begin_claim(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        key: claim_key::ClaimKey,
        outputs: &mut Vec<output::Output>,
    ) {
        if !self.view_is_usable() {
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
        self.ask_silent(now, request, outputs);
        self.set_timer(request, now + CLAIM_REPEAT);
    }

    /// Asks silent witnesses once more, then gives the claim up.
    pub(super) fn repeat_claim(
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
        let ends = round.sent + CLAIM_WAIT;
        if now >= ends {
            let refusal = round.refusal();
            self.refuse_claim(now, request, refusal, outputs);
            return;
        }
        if !round.repeated {
            round.repeated = true;
            self.ask_silent(now, request, outputs);
        }
        self.set_timer(request, ends);
    }

    /// Counts a witness's answer and runs the call once enough agree.
    pub(super) fn take_claimed(
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
        let claiming = matches!(entry.phase, call_entry::CallPhase::Claiming);
        if !claiming || entry.claim_key() != Some(key) {
            return;
        }
        let Some(round) = &mut entry.claim else {
            return;
        };
        if now >= round.sent + CLAIM_WAIT {
            let refusal = round.refusal();
            self.refuse_claim(now, request, refusal, outputs);
            return;
        }
        round.count(witness, state, confirmed);
        match round.verdict() {
            claim_round::RoundVerdict::Open => {}
            claim_round::RoundVerdict::Granted => self.send(now, request, outputs),
            refusal => self.refuse_claim(now, request, refusal, outputs),
        }
    }

    /// Ends a call whose claim failed; it was never sent, so the witnesses free the key.
    fn refuse_claim(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        refusal: claim_round::RoundVerdict,
        outputs: &mut Vec<output::Output>,
    ) {
        let (outcome, failure) = match refusal {
            claim_round::RoundVerdict::Refused(outcome, failure) => (outcome, failure),
            _ => (border::Outcome::Unknown, CallFailure::KeyUncertain),
        };
        let outcome = self.failed(now, request, outcome, failure);
        self.end(request, outcome, outputs);
    }

    fn ask_silent(
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
        for witness in round.silent() {
            let claim = message::Message::Claim {
                key,
                request,
                fingerprint: entry.spec.fingerprint,
                window: self.window_of(now, entry),
            };
            outputs.push(output::Output::Send(witness, claim));
        }
    }

    /// Returns the time back in which an earlier claim of the call's key may lie.
    fn window_of(&self, now: clock::Timestamp, entry: &call_entry::CallEntry) -> time::Duration {
        let retention = self.config.key_retention;
        entry.spec.key_age.map_or(retention, |age| {
            (age + now.since(entry.arrived) + CLOCK_MARGIN).min(retention)
        })
    }

    /// Returns the witnesses of a call's key, which are of the service's home region.
    fn witnesses_of(
        &self,
        request: ids::RequestId,
        key: claim_key::ClaimKey,
    ) -> Vec<ids::InstanceId> {
        let roster = self
            .calls
            .get(&request)
            .and_then(|entry| self.lanes.get(&entry.spec.service))
            .and_then(service_lane::ServiceLane::home)
            .and_then(|home| self.rosters.get(home));
        roster.map_or_else(Vec::new, |roster| witness_rank::witnesses(key, roster))
    }
}
