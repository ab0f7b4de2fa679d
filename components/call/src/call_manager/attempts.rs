//! Sending calls to backend servers and judging what comes back.

use std::time;

use crate::{
    attempt_result, call_entry, call_failure::CallFailure, call_outcome, claim_state::ClaimState,
    output,
};

/// Time within which the first byte of an attempt may leave.
const START_WINDOW: time::Duration = time::Duration::from_millis(200);

/// Most attempts of one call.
const ATTEMPT_LIMIT: u32 = 4;

/// Statuses with which a server or something before it tells that it can't serve now.
const UNAVAILABLE_STATUSES: [u16; 3] = [502, 503, 504];

/// Status with which a server asks for fewer calls.
const TOO_MANY_STATUS: u16 = 429;

impl super::CallManager {
    /// Hands waiting calls of a service to servers while there is room.
    pub(super) fn pump(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
        outputs: &mut Vec<output::Output>,
    ) {
        while let Some((request, server)) = self.next_ready(now, service) {
            self.begin(now, request, server, outputs);
        }
        let Some(lane) = self.lanes.get_mut(service) else {
            self.waiting.remove(service);
            return;
        };
        lane.plan_retry(now);
        if lane.queue.is_empty() {
            self.waiting.remove(service);
        } else if !self.waiting.contains(service) {
            self.waiting.insert(service.clone());
        }
    }

    fn next_ready(
        &mut self,
        now: clock::Timestamp,
        service: &ids::ServiceName,
    ) -> Option<(ids::RequestId, ids::ServerName)> {
        if self.held_until.is_some() {
            return None;
        }
        let lane = self.lanes.get_mut(service)?;
        if lane.queue.is_empty() {
            return None;
        }
        let server = lane.open(now, None, &mut self.generator)?;
        let workspaces = &self.state.workspaces;
        let weight =
            |name: &ids::WorkspaceName| workspaces.get(name).map_or(1, |entry| entry.weight);
        let Some((request, _)) = lane.queue.pop(weight) else {
            lane.close(&server);
            return None;
        };
        Some((request, server))
    }

    /// Uses the room held at a server for a call.
    fn begin(
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
        let first = entry.attempt.0 == 0;
        if now >= entry.deadline || (first && now > entry.wait_until()) {
            self.fail(now, request, CallFailure::DeadlinePassed, outputs);
            return;
        }
        match entry.claim_key() {
            Some(key) if entry.claim.is_none() => self.begin_claim(now, request, key, outputs),
            Some(_) if !entry.holds_claim(now) => {
                self.fail(now, request, CallFailure::KeyUncertain, outputs);
            }
            _ => self.send(now, request, outputs),
        }
    }

    /// Hands an attempt out, unless it is too late or the server has begun to leave.
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
        let Some(lane) = self.lanes.get_mut(&entry.spec.service) else {
            self.fail(now, request, CallFailure::NoServer, outputs);
            return;
        };
        let usable = entry
            .server
            .as_ref()
            .is_some_and(|server| lane.takes_work(server));
        if !usable {
            if let Some(server) = entry.server.take() {
                lane.close(&server);
            }
            entry.server = lane.open(now, None, &mut self.generator);
        }
        let Some(server) = entry.server.clone() else {
            self.fail(now, request, CallFailure::NoServer, outputs);
            return;
        };
        let time_left = entry.deadline.since(now);
        outputs.push(output::Output::Attempt {
            request,
            attempt: entry.attempt,
            server,
            time_left,
            start_within: START_WINDOW.min(time_left),
        });
        entry.phase = call_entry::CallPhase::Sent;
        entry.sent = now;
        entry.attempt = entry.attempt.next();
        let deadline = entry.deadline;
        self.set_timer(request, deadline);
    }

    /// Takes in how an attempt ended.
    pub(super) fn take_result(
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
        let current = matches!(entry.phase, call_entry::CallPhase::Sent);
        if !current || entry.attempt != attempt.next() {
            return;
        }
        let latency = now.since(entry.sent);
        let server = entry.server.take();
        entry.failed_server.clone_from(&server);
        entry.may_have_run |= may_have_run(result);
        let service = entry.spec.service.clone();
        if let (Some(lane), Some(server)) = (self.lanes.get_mut(&service), &server) {
            lane.close(server);
            judge(lane, now, server, latency, result);
        }
        if self.may_retry(now, request, result) {
            self.retry(now, request, outputs);
        } else {
            self.conclude(now, request, attempt, result, outputs);
        }
        self.pump(now, &service, outputs);
    }

    fn conclude(
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
                self.end(request, outcome, outputs);
            }
            attempt_result::AttemptResult::Failed(_) => {
                self.fail(now, request, CallFailure::ServerLost, outputs);
            }
        }
    }

    /// Returns whether a call is sent again after this result; takes it from the budget.
    fn may_retry(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        result: &attempt_result::AttemptResult,
    ) -> bool {
        let Some(entry) = self.calls.get(&request) else {
            return false;
        };
        let unsuccessful = match result {
            attempt_result::AttemptResult::Replied(status) => {
                UNAVAILABLE_STATUSES.contains(status) && entry.is_idempotent()
            }
            attempt_result::AttemptResult::Failed(_) => true,
        };
        let harmless = entry.is_idempotent() || !entry.may_have_run;
        let claimed = entry.claim_key().is_none() || entry.holds_claim(now);
        let in_time = now < entry.deadline && entry.attempt.0 < ATTEMPT_LIMIT;
        if !unsuccessful || !harmless || !claimed || !in_time || entry.answered {
            return false;
        }
        self.lanes
            .get_mut(&entry.spec.service)
            .is_some_and(|lane| lane.has_server() && lane.budget.spend())
    }

    /// Sends a call again, preferably to another server, or queues it when none has room.
    fn retry(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(entry) = self.calls.get_mut(&request) else {
            return;
        };
        let Some(lane) = self.lanes.get_mut(&entry.spec.service) else {
            return;
        };
        let avoid = entry.failed_server.clone();
        if let Some(server) = lane.open(now, avoid.as_ref(), &mut self.generator) {
            self.begin(now, request, server, outputs);
            return;
        }
        let (ticket, loser) = lane
            .queue
            .push(request, &entry.spec.workspace, entry.spec.priority);
        entry.phase = call_entry::CallPhase::Queued(ticket);
        let deadline = entry.deadline;
        self.set_timer(request, deadline);
        if let Some(loser) = loser {
            self.fail(now, loser, CallFailure::QueueFull, outputs);
        }
    }

    /// Tells the witnesses of a call's key what became of it.
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

fn judge(
    lane: &mut crate::service_lane::ServiceLane,
    now: clock::Timestamp,
    server: &ids::ServerName,
    latency: time::Duration,
    result: &attempt_result::AttemptResult,
) {
    match result {
        attempt_result::AttemptResult::Replied(TOO_MANY_STATUS) => lane.overloaded(now, server),
        attempt_result::AttemptResult::Replied(status) if UNAVAILABLE_STATUSES.contains(status) => {
            lane.failed(now, server);
        }
        attempt_result::AttemptResult::Replied(_) => lane.succeeded(now, server, latency),
        attempt_result::AttemptResult::Failed(_) => lane.failed(now, server),
    }
}
