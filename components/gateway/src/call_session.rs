//! One call to a plain service, with its retries.

mod attempt_result;
mod call_guard;
mod call_log;

use std::{sync, time};

use crate::{buffered_reply, crash_reporter, gateway, relay_answer, relay_client, run_evidence};

/// Maximum number of attempts, including those in which the server proves that it didn't run the
/// call.
const ATTEMPT_LIMIT: u32 = 3;

/// Retry delay that callers receive when all servers refused.
const REFUSED_RETRY_AFTER: time::Duration = time::Duration::from_millis(250);

/// One call to a plain service, with its retries.
pub(crate) struct CallSession {
    gateway: sync::Arc<gateway::Gateway>,
    routed: gateway::RoutedRequest,
    /// Servers that failed and are excluded from the next selection.
    excluded: Vec<relay::BackendKey>,
    attempts: u32,
    /// Number of attempts that may have run the call.
    runs: u32,
    /// Number of servers that couldn't be reached.
    unreachable: u32,
    server: Option<ids::ServerName>,
    ended: bool,
}

impl Drop for CallSession {
    fn drop(&mut self) {
        if !self.ended {
            self.log_ended("caller_left", None, None, None);
        }
    }
}

impl CallSession {
    pub(crate) fn new(
        gateway: sync::Arc<gateway::Gateway>,
        routed: gateway::RoutedRequest,
    ) -> Self {
        Self {
            gateway,
            routed,
            excluded: Vec::new(),
            attempts: 0,
            runs: 0,
            unreachable: 0,
            server: None,
            ended: false,
        }
    }

    pub(crate) async fn serve(mut self) -> relay_answer::RelayAnswer {
        let gateway = sync::Arc::clone(&self.gateway);
        tokio::select! {
            biased;
            answer = self.run() => answer,
            () = gateway.core.answers_due() => self.end_open(),
        }
    }

    async fn run(&mut self) -> relay_answer::RelayAnswer {
        let suspects = self.routed.request.suspects();
        loop {
            if let Some(refusal) = self.gateway.late_call(&self.routed) {
                return self.answer_failure(Some(refusal), None);
            }
            if let Some(answer) = self.hand_over().await {
                return answer;
            }
            let service = &self.routed.service;
            let selected = self.gateway.core.decide(|core, now| {
                core.quarantine_refusal(now, &suspects)
                    .map_or_else(|| core.select_server(now, service, &self.excluded), Err)
            });
            let selection = match selected {
                Ok(selection) => selection,
                Err(refusal) => return self.answer_failure(Some(refusal), None),
            };
            let key = selection.key;
            let started = self.gateway.core.now();
            let (result, server) = self.attempt(selection).await;
            let (outcome, evidence, was_sent, error, granted, reply) = match result {
                attempt_result::AttemptResult::Reply(reply) => return self.answer(reply),
                attempt_result::AttemptResult::Failed {
                    outcome,
                    evidence,
                    was_sent,
                    error,
                    granted,
                    reply,
                } => (outcome, evidence, was_sent, error, granted, reply),
            };
            self.excluded.push(key);
            let not_run = evidence.proves_not_run();
            if !not_run {
                self.runs += 1;
            }
            self.unreachable += u32::from(outcome == relay::BackendOutcome::Unreachable);
            let will_retry = granted || self.may_retry(not_run, was_sent);
            let took = self.gateway.core.now().since(started);
            self.report_crash(key, outcome, started);
            self.log_failure(&server, outcome, evidence, &error, took, will_retry);
            if !will_retry {
                if let Some(answer) = self.hand_over().await {
                    return answer;
                }
                return self.answer_failure(None, reply);
            }
        }
    }

    /// Answers a call that is open when this instance ends.
    fn end_open(&mut self) -> relay_answer::RelayAnswer {
        let answer = self.gateway.answer_at_end(&self.routed);
        self.answer_locally(answer, Some(relay::DRAIN_REFUSAL))
    }

    /// Lets another instance serve a call that no server has run, if this one doesn't reach the
    /// servers; returns `None` when none has taken it.
    async fn hand_over(&mut self) -> Option<relay_answer::RelayAnswer> {
        if self.runs > 0 || !self.gateway.prefers_proxy(&self.routed, self.unreachable) {
            return None;
        }
        let answer = self.gateway.proxy(&self.routed).await?;
        // The other instance's answer is logged already.
        self.ended = true;
        Some(answer)
    }

    async fn attempt(
        &mut self,
        selection: relay::ServerSelection,
    ) -> (attempt_result::AttemptResult, ids::ServerName) {
        self.attempts += 1;
        let server = selection.entry.server.clone();
        self.server = Some(server.clone());
        self.log_sent(&selection);
        // Other instances need to know at once which part of the limit is left, and, at the end of
        // the call, that it no longer runs.
        if selection.rate_limit.is_some() {
            self.gateway.core.state_changed.notify_one();
        }
        let now = self.gateway.core.now();
        let mut guard = call_guard::CallGuard {
            gateway: sync::Arc::clone(&self.gateway),
            selection,
            sent_at: now,
            ended: false,
        };
        let time_left = self.routed.time_left(now);
        let attempt_timeout = self.attempt_timeout(time_left);
        let options = relay_client::SendOptions::builder()
            .key(guard.selection.key)
            .server(server.clone())
            .address(guard.selection.entry.address)
            .step(relay_client::RelayStep::Run)
            .time_left(time_left)
            .start_by(self.routed.deadline)
            .build();
        self.routed.runs.begin();
        let result = self
            .exchange_within(options, attempt_timeout, time_left)
            .await;
        if let attempt_result::AttemptResult::Failed { evidence, .. } = &result
            && evidence.proves_not_run()
        {
            self.routed.runs.disprove();
        }
        let outcome = match &result {
            attempt_result::AttemptResult::Reply(_) => relay::BackendOutcome::Succeeded,
            attempt_result::AttemptResult::Failed { outcome, .. } => *outcome,
        };
        guard.end(&self.routed.request.id, outcome);
        (result, server)
    }

    /// Waits for an answer for `attempt_timeout`. If no retry is granted then, waits up to
    /// `time_left`.
    async fn exchange_within(
        &self,
        options: relay_client::SendOptions,
        attempt_timeout: time::Duration,
        time_left: time::Duration,
    ) -> attempt_result::AttemptResult {
        let exchange = self.exchange(options);
        tokio::pin!(exchange);
        if let Ok(result) = tokio::time::timeout(attempt_timeout, exchange.as_mut()).await {
            return result;
        }
        let granted = attempt_timeout < time_left && self.consume_retry();
        if !granted
            && let Ok(result) = tokio::time::timeout(time_left - attempt_timeout, exchange).await
        {
            return result;
        }
        attempt_result::AttemptResult::Failed {
            outcome: relay::BackendOutcome::TimedOut,
            evidence: run_evidence::RunEvidence::default(),
            was_sent: true,
            error: "no answer within the timeout".to_owned(),
            granted,
            reply: None,
        }
    }

    async fn exchange(&self, options: relay_client::SendOptions) -> attempt_result::AttemptResult {
        let reply = match self
            .gateway
            .client
            .send(&self.routed.request, options)
            .await
        {
            Ok(reply) => reply,
            Err(error) => return attempt_result::failed_attempt(&error),
        };
        let reply = match buffered_reply::collect(reply, self.gateway.memory.share()).await {
            Ok(reply) => reply,
            Err(error) => return attempt_result::failed_attempt(&error),
        };
        if let Some(outcome) = reply.refusal_outcome() {
            return attempt_result::AttemptResult::Failed {
                outcome,
                evidence: reply.evidence,
                was_sent: true,
                error: format!("refused with status {}", reply.status),
                granted: false,
                reply: None,
            };
        }
        if reply.implies_not_run() && !self.routed.route.may_run_again() {
            return attempt_result::AttemptResult::Failed {
                outcome: relay::BackendOutcome::Failed,
                evidence: reply.evidence,
                was_sent: true,
                error: format!(
                    "status {}, without a report that it didn't run",
                    reply.status
                ),
                granted: false,
                reply: None,
            };
        }
        if reply.status.is_server_error() {
            return attempt_result::AttemptResult::Failed {
                outcome: relay::BackendOutcome::Failed,
                evidence: reply.evidence,
                was_sent: true,
                error: format!("status {}", reply.status),
                granted: false,
                reply: Some(reply),
            };
        }
        attempt_result::AttemptResult::Reply(reply)
    }

    /// Returns the timeout of one attempt: less than the time left if another attempt may follow.
    fn attempt_timeout(&self, time_left: time::Duration) -> time::Duration {
        let may_follow =
            self.routed.route.may_run_again() && self.runs + 1 < self.routed.route.attempt_limit;
        if !may_follow {
            return time_left;
        }
        let call_timeout = self
            .gateway
            .core
            .decide(|core, _| core.call_attempt_timeout(&self.routed.service));
        call_timeout.min(time_left)
    }

    fn may_retry(&self, not_run: bool, was_sent: bool) -> bool {
        let now = self.gateway.core.now();
        if self.routed.time_left(now).is_zero() || self.attempts >= ATTEMPT_LIMIT {
            return false;
        }
        if !not_run {
            let route = &self.routed.route;
            if !route.may_run_again() || self.runs >= route.attempt_limit {
                return false;
            }
        }
        // A server that was unreachable received nothing, so the next attempt doesn't count as a
        // retry.
        !was_sent || self.consume_retry()
    }

    /// Reports a server that broke off. `sent_at` is the time at which the request was sent.
    fn report_crash(
        &self,
        key: relay::BackendKey,
        outcome: relay::BackendOutcome,
        sent_at: clock::Timestamp,
    ) {
        if outcome == relay::BackendOutcome::Broken {
            let crash = crash_reporter::BrokenAttempt {
                engine_step: None,
                key,
                sent_at,
            };
            crash_reporter::report(&self.gateway, &self.routed.request, crash);
        }
    }

    fn consume_retry(&self) -> bool {
        self.gateway
            .core
            .decide(|core, now| core.consume_retries(now, &self.routed.service, 1))
    }

    fn answer(&mut self, reply: buffered_reply::BufferedReply) -> relay_answer::RelayAnswer {
        let suspects = self.routed.request.suspects();
        self.gateway
            .core
            .decide(|core, now| core.record_answer(now, &suspects));
        self.log_ended("relayed", None, Some(reply.status.as_u16()), None);
        relay_answer::RelayAnswer::Buffered {
            status: reply.status,
            headers: reply.headers,
            body: reply.body,
        }
    }

    fn answer_failure(
        &mut self,
        refusal: Option<relay::Refusal>,
        reply: Option<buffered_reply::BufferedReply>,
    ) -> relay_answer::RelayAnswer {
        if let Some(reply) = reply {
            return self.answer(reply);
        }
        let now = self.gateway.core.now();
        let answer = if self.runs == 0 {
            relay_answer::LocalAnswer::NotRun
        } else if self.routed.time_left(now).is_zero() {
            relay_answer::LocalAnswer::TimedOut
        } else {
            relay_answer::LocalAnswer::Unknown
        };
        self.gateway.count_refusal(&self.routed, answer, refusal);
        self.answer_locally(answer, refusal)
    }

    fn answer_locally(
        &mut self,
        answer: relay_answer::LocalAnswer,
        refusal: Option<relay::Refusal>,
    ) -> relay_answer::RelayAnswer {
        let retry_after = (answer == relay_answer::LocalAnswer::NotRun)
            .then(|| refusal.map_or(REFUSED_RETRY_AFTER, |refusal| refusal.retry_after));
        let reason: Option<&str> = refusal.map(|refusal| refusal.reason.into());
        if let Some(reason) = reason {
            self.gateway.metrics.refused(reason);
        }
        self.log_ended(
            answer.into(),
            reason,
            Some(answer.status().as_u16()),
            retry_after,
        );
        relay_answer::RelayAnswer::Local {
            answer,
            retry_after,
        }
    }
}
