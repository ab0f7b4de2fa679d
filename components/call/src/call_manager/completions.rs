//! Completion of calls: by timeout, by disconnect of the caller or with an outcome.

use std::time;

use rand::RngExt as _;

use crate::{call_entry, call_failure, call_outcome, output};

/// Time after the deadline for which an unfinished attempt keeps its capacity at the server.
///
/// After an earlier disconnect of the caller, the capacity is released at the deadline.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Lower bound of the retry delay sent to a caller, before random spread.
const RETRY_AFTER_MIN: time::Duration = time::Duration::from_secs(1);

/// Upper bound of the retry delay sent to a caller, before random spread.
const RETRY_AFTER_MAX: time::Duration = time::Duration::from_secs(30);

impl super::CallManager {
    /// Handles the disconnect of a caller.
    ///
    /// A call that was sent stays until its attempt ends; any other call is removed.
    pub(super) fn handle_caller_gone(
        &mut self,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
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

    /// Handles the due timer of a call according to its phase.
    pub(super) fn handle_timeout(
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
            call_entry::CallPhase::Claiming => self.retry_claim(now, request, outputs),
            call_entry::CallPhase::Sent if entry.answered => self.expire_attempt(request, outputs),
            call_entry::CallPhase::Sent => {
                let outcome = self.failed_outcome(
                    now,
                    request,
                    border::Outcome::Unknown,
                    call_failure::CallFailure::DeadlinePassed,
                );
                self.answer(request, outcome, outputs);
                self.set_timer(request, now + LINGER_TIMEOUT);
            }
        }
    }

    /// Removes a call whose attempt never reported its result.
    pub(super) fn expire_attempt(
        &mut self,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        self.settle(request, crate::ClaimState::Unknown, outputs);
        self.remove(request);
    }

    /// Completes a call without an answer of a server, with the proven outcome.
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
        let proven = entry.proven_outcome(now);
        let outcome = self.failed_outcome(now, request, proven, failure);
        self.complete(request, outcome, outputs);
    }

    /// Builds the outcome of a failed call, with the delay after which the caller may retry.
    pub(super) fn failed_outcome(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outcome: border::Outcome,
        failure: call_failure::CallFailure,
    ) -> call_outcome::CallOutcome {
        let wait = self
            .calls
            .get(&request)
            .and_then(|entry| self.pools.get(&entry.spec.service))
            .map_or(time::Duration::ZERO, |pool| pool.expected_wait(now));
        let spread = self.generator.random_range(1.0..1.5);
        let retry_after = wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        let is_final = matches!(
            failure,
            call_failure::CallFailure::KeyUsed | call_failure::CallFailure::KeyMismatch
        );
        call_outcome::CallOutcome::Failed {
            outcome,
            failure,
            retry_after: (!is_final).then(|| retry_after.mul_f64(spread)),
        }
    }

    /// Answers the caller, settles the claim and removes the call.
    pub(super) fn complete(
        &mut self,
        request: ids::RequestId,
        outcome: call_outcome::CallOutcome,
        outputs: &mut Vec<output::Output>,
    ) {
        let state = match &outcome {
            call_outcome::CallOutcome::Answered(_) => crate::ClaimState::Ran,
            call_outcome::CallOutcome::Failed { .. } => self.calls.get(&request).map_or(
                crate::ClaimState::NotRun,
                call_entry::CallEntry::settled_state,
            ),
        };
        self.settle(request, state, outputs);
        self.answer(request, outcome, outputs);
        self.remove(request);
    }

    /// Answers the caller unless the caller was already answered or has disconnected.
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

    /// Marks a call as answered and updates the counts of unanswered calls.
    ///
    /// Returns false when the caller was already answered or has disconnected.
    pub(super) fn mark_answered(&mut self, request: ids::RequestId) -> bool {
        let Some(entry) = self.calls.get_mut(&request).filter(|entry| !entry.answered) else {
            return false;
        };
        entry.answered = true;
        self.unanswered -= 1;
        if let Some(in_flight) = self.workspace_counts.get_mut(&entry.spec.workspace) {
            *in_flight -= 1;
            if *in_flight == 0 {
                self.workspace_counts.remove(&entry.spec.workspace);
            }
        }
        true
    }

    /// Removes a call and releases its queue position or its capacity at a server.
    pub(super) fn remove(&mut self, request: ids::RequestId) {
        let Some(entry) = self.calls.remove(&request) else {
            return;
        };
        self.timers.remove(&(entry.timer, request));
        let Some(pool) = self.pools.get_mut(&entry.spec.service) else {
            return;
        };
        if let call_entry::CallPhase::Queued(ticket) = &entry.phase {
            pool.queue.remove(ticket);
        }
        if let Some(server) = &entry.server {
            pool.release(server);
            self.released_services.insert(entry.spec.service);
        }
    }
}
