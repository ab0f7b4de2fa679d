//! Sending calls to backend servers and handling the results.

use std::time;

use crate::{
    attempt_result, call_entry, call_failure::CallFailure, call_outcome, claim_state::ClaimState,
    output,
};

/// Time within which the first byte of an attempt must be sent.
const START_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Largest number of attempts of one call.
const ATTEMPT_LIMIT: u32 = 4;

/// Statuses of a server or an intermediary that is temporarily unavailable.
const UNAVAILABLE_STATUSES: [u16; 3] = [502, 503, 504];

/// Status of a server that limits the request rate.
const TOO_MANY_REQUESTS_STATUS: u16 = 429;

impl super::CallManager {
    /// Assigns queued calls of a service to servers while the servers have capacity.
    pub(super) fn dispatch(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        outputs: &mut Vec<output::Output>,
    ) {
        while let Some((request, server)) = self.next_ready(now, service) {
            self.start_call(now, request, server, outputs);
        }
        let Some(pool) = self.pools.get_mut(service) else {
            self.queued_services.remove(service);
            return;
        };
        pool.schedule_capacity_check(now);
        if pool.queue.is_empty() {
            self.queued_services.remove(service);
        } else if !self.queued_services.contains(service) {
            self.queued_services.insert(service.clone());
        }
    }

    /// Reserves capacity at a server and removes the next call from the queue; returns both.
    fn next_ready(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
    ) -> Option<(ids::RequestId, ids::ServerName)> {
        if self.held_until.is_some() {
            return None;
        }
        let pool = self.pools.get_mut(service)?;
        if pool.queue.is_empty() {
            return None;
        }
        let server = pool.reserve(now, None, &mut self.generator)?;
        let workspaces = &self.state.workspaces;
        let weight =
            |name: &ids::WorkspaceName| workspaces.get(name).map_or(1, |entry| entry.weight);
        let Some((request, _)) = pool.queue.pop(weight) else {
            pool.release(&server);
            return None;
        };
        Some((request, server))
    }

    /// Starts a call with the capacity reserved at a server.
    fn start_call(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        server: ids::ServerName,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        entry.server = Some(server);
        entry.phase = call_entry::CallPhase::Claiming;
        let is_first = entry.next_attempt.0 == 0;
        if now >= entry.deadline || (is_first && now > entry.queue_deadline()) {
            self.fail(now, request, CallFailure::DeadlinePassed, outputs);
            return;
        }
        match entry.claim_key() {
            Some(key) if entry.claim.is_none() => self.start_claim(now, request, key, outputs),
            Some(_) if !entry.holds_claim(now) => {
                self.fail(now, request, CallFailure::KeyUncertain, outputs);
            }
            _ => self.send(now, request, outputs),
        }
    }

    /// Sends an attempt.
    ///
    /// The call fails when its deadline has passed. When its server no longer accepts calls, the
    /// attempt goes to another server with capacity; without such a server the call fails.
    pub(super) fn send(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        if now >= entry.deadline {
            self.fail(now, request, CallFailure::DeadlinePassed, outputs);
            return;
        }
        let Some(pool) = self.pools.get_mut(&entry.spec.service) else {
            self.fail(now, request, CallFailure::NoServer, outputs);
            return;
        };
        let is_usable = entry
            .server
            .as_ref()
            .is_some_and(|server| pool.server_accepts_calls(server));
        if !is_usable {
            if let Some(server) = entry.server.take() {
                pool.release(&server);
            }
            entry.server = pool.reserve(now, None, &mut self.generator);
        }
        let Some(server) = entry.server.clone() else {
            self.fail(now, request, CallFailure::NoServer, outputs);
            return;
        };
        let time_left = entry.deadline.since(now);
        outputs.push(output::Output::Attempt {
            request,
            attempt: entry.next_attempt,
            server,
            time_left,
            start_within: START_TIMEOUT.min(time_left),
        });
        entry.phase = call_entry::CallPhase::Sent;
        entry.sent_at = now;
        entry.next_attempt = entry.next_attempt.next();
        let deadline = entry.deadline;
        self.set_timer(request, deadline);
    }

    /// Handles the result of an attempt.
    pub(super) fn handle_result(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        result: &attempt_result::AttemptResult,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        let is_current = matches!(entry.phase, call_entry::CallPhase::Sent);
        if !is_current || entry.next_attempt != attempt.next() {
            return;
        }
        let latency = now.since(entry.sent_at);
        let server = entry.server.take();
        entry.failed_server.clone_from(&server);
        entry.may_have_run |= may_have_run(result);
        let service = entry.spec.service.clone();
        if let (Some(pool), Some(server)) = (self.pools.get_mut(&service), &server) {
            pool.release(server);
            record_result(pool, now, server, latency, result);
        }
        if self.admit_retry(now, request, result) {
            self.retry(now, request, outputs);
        } else {
            self.finish_attempt(now, request, attempt, result, outputs);
        }
        self.dispatch(now, &service, outputs);
    }

    fn finish_attempt(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        result: &attempt_result::AttemptResult,
        outputs: &mut Vec<output::Output>,
    ) {
        match result {
            attempt_result::AttemptResult::Replied(_) => {
                let outcome = call_outcome::CallOutcome::Answered(attempt);
                self.complete(request, outcome, outputs);
            }
            attempt_result::AttemptResult::Failed(_) => {
                self.fail(now, request, CallFailure::ServerLost, outputs);
            }
        }
    }

    /// Returns whether a call is retried after this result, and deducts the retry from the budget.
    fn admit_retry(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        result: &attempt_result::AttemptResult,
    ) -> bool {
        let Some(entry) = self.calls.get(&request) else {
            return false;
        };
        let is_retryable = match result {
            attempt_result::AttemptResult::Replied(status) => {
                UNAVAILABLE_STATUSES.contains(status) && entry.is_idempotent()
            }
            attempt_result::AttemptResult::Failed(_) => true,
        };
        let is_safe = entry.is_idempotent() || !entry.may_have_run;
        let is_claimed = entry.claim_key().is_none() || entry.holds_claim(now);
        let is_in_time = now < entry.deadline && entry.next_attempt.0 < ATTEMPT_LIMIT;
        if !is_retryable || !is_safe || !is_claimed || !is_in_time || entry.answered {
            return false;
        }
        self.pools
            .get_mut(&entry.spec.service)
            .is_some_and(|pool| pool.accepts_calls() && pool.budget.spend())
    }

    /// Retries a call on a server other than that of the failed attempt, or queues the call when no
    /// such server has capacity.
    fn retry(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&entry.spec.service) else {
            return;
        };
        let avoid = entry.failed_server.clone();
        if let Some(server) = pool.reserve(now, avoid.as_ref(), &mut self.generator) {
            self.start_call(now, request, server, outputs);
            return;
        }
        let (ticket, evicted) =
            pool.queue
                .push(request, &entry.spec.workspace, entry.spec.priority);
        entry.phase = call_entry::CallPhase::Queued(ticket);
        let deadline = entry.deadline;
        self.set_timer(request, deadline);
        if let Some(evicted) = evicted {
            self.fail(now, evicted, CallFailure::QueueFull, outputs);
        }
    }

    /// Sends the final state of a claim to the witnesses of the call's key.
    pub(super) fn settle(
        &mut self,
        request: ids::RequestId,
        state: ClaimState,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.calls.get(&request) else {
            return;
        };
        let (Some(key), Some(round)) = (entry.claim_key(), &entry.claim) else {
            return;
        };
        for witness in &round.witnesses {
            let message = crate::Message::Settle {
                key,
                request,
                state,
            };
            outputs.push(output::Output::Send(*witness, message));
        }
    }
}

fn may_have_run(result: &attempt_result::AttemptResult) -> bool {
    match result {
        attempt_result::AttemptResult::Replied(_) => true,
        attempt_result::AttemptResult::Failed(error) => !error.proves_not_run(),
    }
}

fn record_result(
    pool: &mut crate::service_pool::ServicePool,
    now: clock::Timestamp,
    server: &ids::ServerName,
    latency: time::Duration,
    result: &attempt_result::AttemptResult,
) {
    match result {
        attempt_result::AttemptResult::Replied(TOO_MANY_REQUESTS_STATUS) => {
            pool.overloaded(now, server)
        }
        attempt_result::AttemptResult::Replied(status) if UNAVAILABLE_STATUSES.contains(status) => {
            pool.failed(now, server);
        }
        attempt_result::AttemptResult::Replied(_) => pool.succeeded(now, server, latency),
        attempt_result::AttemptResult::Failed(_) => pool.failed(now, server),
    }
}
