//! Ending calls: by time, by the caller, or with an outcome.

use std::time;

use rand::RngExt as _;

use crate::{call_entry, call_failure, call_outcome, output};

/// Time after its deadline for which an attempt that doesn't end keeps its room at the server.
const LINGER_TIME: time::Duration = time::Duration::from_secs(10);

/// Shortest time after which a refused caller is asked to come back.
const RETRY_AFTER_FLOOR: time::Duration = time::Duration::from_secs(1);

/// Longest time after which a refused caller is asked to come back.
const RETRY_AFTER_CAP: time::Duration = time::Duration::from_secs(30);

impl super::CallManager {
    pub(super) fn abandon(&mut self, request: ids::RequestId, outputs: &mut Vec<output::Output>) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        if matches!(entry.phase, call_entry::CallPhase::Sent) {
            self.mark_answered(request);
            return;
        }
        self.settle(request, crate::ClaimState::NotRun, outputs);
        self.mark_answered(request);
        self.remove(request);
    }

    pub(super) fn time_out(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        match entry.phase {
            call_entry::CallPhase::Queued(_) => {
                self.fail(
                    now,
                    request,
                    call_failure::CallFailure::DeadlinePassed,
                    outputs,
                );
            }
            call_entry::CallPhase::Claiming => self.repeat_claim(now, request, outputs),
            call_entry::CallPhase::Sent if entry.answered => self.give_up(request, outputs),
            call_entry::CallPhase::Sent => {
                let outcome = self.failed(
                    now,
                    request,
                    border::Outcome::Unknown,
                    call_failure::CallFailure::DeadlinePassed,
                );
                self.answer(request, outcome, outputs);
                self.set_timer(request, now + LINGER_TIME);
            }
        }
    }

    /// Forgets an attempt whose end was never reported.
    pub(super) fn give_up(&mut self, request: ids::RequestId, outputs: &mut Vec<output::Output>) {
        self.settle(request, crate::ClaimState::Unknown, outputs);
        self.remove(request);
    }

    /// Ends a call without an answer of a server, telling what is proved.
    pub(super) fn fail(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        failure: call_failure::CallFailure,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        let proved = entry.proved_outcome(now);
        let outcome = self.failed(now, request, proved, failure);
        self.end(request, outcome, outputs);
    }

    /// Makes the outcome of a call that failed, with the time after which to come back.
    pub(super) fn failed(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outcome: border::Outcome,
        failure: call_failure::CallFailure,
    ) -> call_outcome::CallOutcome {
        let wait = self
            .calls
            .get(&request)
            .and_then(|entry| self.lanes.get(&entry.spec.service))
            .map_or(time::Duration::ZERO, |lane| lane.expected_wait(now));
        let spread = self.generator.random_range(1.0..1.5);
        let after = wait.clamp(RETRY_AFTER_FLOOR, RETRY_AFTER_CAP);
        let is_final = matches!(
            failure,
            call_failure::CallFailure::KeyUsed | call_failure::CallFailure::KeyMismatch
        );
        call_outcome::CallOutcome::Failed {
            outcome,
            failure,
            retry_after: (!is_final).then(|| after.mul_f64(spread)),
        }
    }

    /// Answers the caller, settles the claim and forgets the call.
    pub(super) fn end(
        &mut self,
        request: ids::RequestId,
        outcome: call_outcome::CallOutcome,
        outputs: &mut Vec<output::Output>,
    ) {
        let state = match &outcome {
            call_outcome::CallOutcome::Answered(_) => crate::ClaimState::Ran,
            call_outcome::CallOutcome::Failed { .. } => self
                .calls
                .get(&request)
                .map_or(crate::ClaimState::NotRun, call_entry::CallEntry::settled),
        };
        self.settle(request, state, outputs);
        self.answer(request, outcome, outputs);
        self.remove(request);
    }

    /// Answers the caller unless it has its answer or is gone.
    pub(super) fn answer(
        &mut self,
        request: ids::RequestId,
        outcome: call_outcome::CallOutcome,
        outputs: &mut Vec<output::Output>,
    ) {
        if self.mark_answered(request) {
            outputs.push(output::Output::Finish(request, outcome));
        }
    }

    pub(super) fn mark_answered(&mut self, request: ids::RequestId) -> bool {
        let Some(entry) = self.calls.get_mut(&request).filter(|entry| !entry.answered) else {
            return false;
        };
        entry.answered = true;
        self.unanswered -= 1;
        if let Some(held) = self.workspaces.get_mut(&entry.spec.workspace) {
            *held -= 1;
            if *held == 0 {
                self.workspaces.remove(&entry.spec.workspace);
            }
        }
        true
    }

    /// Forgets a call and gives its place in queue or at a server to others.
    pub(super) fn remove(&mut self, request: ids::RequestId) {
        let Some(entry) = self.calls.remove(&request) else {
            return;
        };
        self.timers.remove(&(entry.timer, request));
        let Some(lane) = self.lanes.get_mut(&entry.spec.service) else {
            return;
        };
        if let call_entry::CallPhase::Queued(ticket) = &entry.phase {
            lane.queue.remove(ticket);
        }
        if let Some(server) = &entry.server {
            lane.close(server);
            self.freed.insert(entry.spec.service);
        }
    }
}
