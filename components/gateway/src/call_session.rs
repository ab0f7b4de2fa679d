//! One call to a plain service.

use std::{sync, time};

use crate::{decision_event, gateway, relay_answer, relay_client, whole_reply};

/// Servers that are tried at the most when each proves that it didn't run the call.
const TRY_LIMIT: u32 = 3;

/// Time after which a caller may come back when all servers refused.
const REFUSED_RETRY: time::Duration = time::Duration::from_millis(250);

/// Counts a call at a server until it ends; a call that is dropped counts as abandoned.
struct CallGuard {
    gateway: sync::Arc<gateway::Gateway>,
    pick: relay::ServerSelection,
    sent_at: clock::Timestamp,
    ended: bool,
}

impl CallGuard {
    fn end(&mut self, id: &str, outcome: relay::BackendOutcome) {
        self.ended = true;
        let key = self.pick.key;
        let sent_at = self.sent_at;
        let ejected = self
            .gateway
            .port
            .decide(|core, now| core.record_call_outcome(now, key, outcome, now.since(sent_at)));
        if ejected {
            let server = self.pick.entry.server.as_str();
            self.gateway.log_ejection(server, id, outcome);
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.end("", relay::BackendOutcome::Abandoned);
        }
    }
}

/// What follows from one attempt.
enum AttemptEnd {
    /// The answer for the caller.
    Reply(whole_reply::WholeReply),
    /// The attempt failed.
    Failed {
        outcome: relay::BackendOutcome,
        not_run: bool,
        error: String,
        /// Whether a repeat was granted when the attempt was given up.
        granted: bool,
        /// What the server answered, when its failure is an answer for the caller.
        reply: Option<whole_reply::WholeReply>,
    },
}

/// One call to a plain service.
pub(crate) struct CallSession {
    gateway: sync::Arc<gateway::Gateway>,
    routed: gateway::RoutedRequest,
    avoid: Vec<relay::BackendKey>,
    tries: u32,
    /// Attempts that may have run.
    runs: u32,
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
            avoid: Vec::new(),
            tries: 0,
            runs: 0,
            server: None,
            ended: false,
        }
    }

    pub(crate) async fn serve(mut self) -> relay_answer::RelayAnswer {
        loop {
            let service = &self.routed.service;
            let picked = self
                .gateway
                .port
                .decide(|core, now| core.select_server(now, service, &self.avoid));
            let pick = match picked {
                Ok(pick) => pick,
                Err(refusal) => return self.give_up(Some(refusal), None),
            };
            let key = pick.key;
            let started = self.gateway.port.now();
            let (end, server) = self.attempt(pick).await;
            let (outcome, not_run, error, granted, reply) = match end {
                AttemptEnd::Reply(reply) => return self.answer(reply),
                AttemptEnd::Failed {
                    outcome,
                    not_run,
                    error,
                    granted,
                    reply,
                } => (outcome, not_run, error, granted, reply),
            };
            self.avoid.push(key);
            if !not_run {
                self.runs += 1;
            }
            let retries = granted || self.may_retry(outcome, not_run);
            let took = self.gateway.port.now().since(started);
            self.log_failure(&server, outcome, not_run, &error, took, retries);
            if !retries {
                return self.give_up(None, reply);
            }
        }
    }

    async fn attempt(&mut self, pick: relay::ServerSelection) -> (AttemptEnd, ids::ServerName) {
        self.tries += 1;
        let server = pick.entry.server.clone();
        self.server = Some(server.clone());
        self.log_sent(&pick);
        let now = self.gateway.port.now();
        let mut guard = CallGuard {
            gateway: sync::Arc::clone(&self.gateway),
            pick,
            sent_at: now,
            ended: false,
        };
        let time_left = self.routed.time_left(now);
        let patience = self.patience(time_left);
        let send = relay_client::RelaySend::builder()
            .server(server.clone())
            .address(guard.pick.entry.address)
            .step(relay_client::RelayStep::Run)
            .time_left(time_left)
            .start_by(self.routed.deadline)
            .build();
        let end = self.exchange_within(send, patience, time_left).await;
        let outcome = match &end {
            AttemptEnd::Reply(_) => relay::BackendOutcome::Succeeded,
            AttemptEnd::Failed { outcome, .. } => *outcome,
        };
        guard.end(&self.routed.request.id, outcome);
        (end, server)
    }

    /// Waits for an answer for `patience`, and on up to `time_left` unless a repeat is granted.
    async fn exchange_within(
        &self,
        send: relay_client::RelaySend,
        patience: time::Duration,
        time_left: time::Duration,
    ) -> AttemptEnd {
        let exchange = self.exchange(send);
        tokio::pin!(exchange);
        if let Ok(end) = tokio::time::timeout(patience, exchange.as_mut()).await {
            return end;
        }
        let granted = patience < time_left && self.take_repeat();
        if !granted && let Ok(end) = tokio::time::timeout(time_left - patience, exchange).await {
            return end;
        }
        AttemptEnd::Failed {
            outcome: relay::BackendOutcome::TimedOut,
            not_run: false,
            error: "no answer in time".to_owned(),
            granted,
            reply: None,
        }
    }

    async fn exchange(&self, send: relay_client::RelaySend) -> AttemptEnd {
        let reply = match self.gateway.client.send(&self.routed.request, send).await {
            Ok(reply) => reply,
            Err(error) => return failed(&error),
        };
        match whole_reply::collect(reply).await {
            Err(error) => failed(&error),
            Ok(reply) if reply.not_run => AttemptEnd::Failed {
                outcome: relay::BackendOutcome::Refused,
                not_run: true,
                error: format!("refused with status {}", reply.status),
                granted: false,
                reply: None,
            },
            Ok(reply) if reply.status.is_server_error() => AttemptEnd::Failed {
                outcome: relay::BackendOutcome::Failed,
                not_run: false,
                error: format!("status {}", reply.status),
                granted: false,
                reply: Some(reply),
            },
            Ok(reply) => AttemptEnd::Reply(reply),
        }
    }

    /// Returns how long one attempt may take: less than what is left where another may follow.
    fn patience(&self, time_left: time::Duration) -> time::Duration {
        let another =
            self.routed.route.may_run_again() && self.runs + 1 < self.routed.route.attempt_limit;
        if !another {
            return time_left;
        }
        let patience = self
            .gateway
            .port
            .decide(|core, _| core.call_attempt_timeout(&self.routed.service));
        patience.min(time_left)
    }

    fn may_retry(&self, outcome: relay::BackendOutcome, not_run: bool) -> bool {
        let now = self.gateway.port.now();
        if self.routed.time_left(now).is_zero() || self.tries >= TRY_LIMIT {
            return false;
        }
        if !not_run {
            let route = &self.routed.route;
            if !route.may_run_again() || self.runs >= route.attempt_limit {
                return false;
            }
        }
        // A server that was never reached received nothing, so another one is no repeat.
        outcome == relay::BackendOutcome::Unreachable || self.take_repeat()
    }

    fn take_repeat(&self) -> bool {
        self.gateway
            .port
            .decide(|core, now| core.take_retries(now, &self.routed.service, 1))
    }

    fn answer(&mut self, reply: whole_reply::WholeReply) -> relay_answer::RelayAnswer {
        self.log_ended("relayed", None, Some(reply.status.as_u16()), None);
        relay_answer::RelayAnswer::Whole {
            status: reply.status,
            headers: reply.headers,
            body: reply.body,
        }
    }

    fn give_up(
        &mut self,
        refusal: Option<relay::Refusal>,
        reply: Option<whole_reply::WholeReply>,
    ) -> relay_answer::RelayAnswer {
        if let Some(reply) = reply {
            return self.answer(reply);
        }
        let now = self.gateway.port.now();
        let answer = if self.runs == 0 {
            relay_answer::OwnAnswer::NotRun
        } else if self.routed.time_left(now).is_zero() {
            relay_answer::OwnAnswer::TimedOut
        } else {
            relay_answer::OwnAnswer::Unknown
        };
        let retry_after = (answer == relay_answer::OwnAnswer::NotRun)
            .then(|| refusal.map_or(REFUSED_RETRY, |refusal| refusal.retry_after));
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
        relay_answer::RelayAnswer::Own {
            answer,
            retry_after,
        }
    }

    fn log_sent(&self, pick: &relay::ServerSelection) {
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::CallSent {
                id: &self.routed.request.id,
                route: &self.routed.route.name,
                config_version: self.routed.config_version,
                server: pick.entry.server.as_str(),
                attempt: self.tries,
                running: pick.running,
                failure_share: pick.failure_share,
                view_age_ms: self.gateway.view_age_ms(),
            });
    }

    fn log_failure(
        &self,
        server: &ids::ServerName,
        outcome: relay::BackendOutcome,
        not_run: bool,
        error: &str,
        took: time::Duration,
        retries: bool,
    ) {
        self.gateway.metrics.attempt_failed("call");
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::AttemptFailed {
                id: &self.routed.request.id,
                stage: "call",
                server: server.as_str(),
                outcome: outcome.into(),
                error,
                not_run,
                took_ms: gateway::millis(took),
                next: if retries { "retry" } else { "end" },
            });
    }

    fn log_ended(
        &mut self,
        outcome: &str,
        reason: Option<&str>,
        status: Option<u16>,
        retry_after: Option<time::Duration>,
    ) {
        self.ended = true;
        let took = self.gateway.port.now().since(self.routed.arrived);
        let kind: &'static str = self.routed.route.kind.into();
        self.gateway.metrics.ended(kind, outcome, took);
        self.gateway
            .log
            .write(&decision_event::DecisionEvent::Ended {
                id: &self.routed.request.id,
                route: Some(&self.routed.route.name),
                outcome,
                reason,
                status,
                server: self.server.as_ref().map(ids::ServerName::as_str),
                attempts: self.tries,
                took_ms: gateway::millis(took),
                first_event_ms: None,
                longest_pause_ms: None,
                events: None,
                retry_after_ms: retry_after.map(gateway::millis),
            });
    }
}

fn failed(error: &border::BorderError) -> AttemptEnd {
    AttemptEnd::Failed {
        outcome: whole_reply::outcome_of(error),
        not_run: error.proves_not_run(),
        error: error.to_string(),
        granted: false,
        reply: None,
    }
}
