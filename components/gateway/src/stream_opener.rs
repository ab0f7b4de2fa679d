//! Places a generation on engines and waits for its first event, with retries.

mod decode_step;
mod failure_step;
mod prefill_step;
mod software_lookup;

use std::{sync, time};

use crate::{
    buffered_reply, decision_event, gateway, placement_guard, relay_client, relay_request,
    run_evidence, started_stream, stream_trace,
};

/// Maximum number of attempts, including those in which the engine proves that it didn't run the
/// request.
const ATTEMPT_LIMIT: u32 = 5;

/// Queue timeout as a multiple of the route's latency target for the first token; callers
/// disconnect after about four targets.
const QUEUE_WAIT_TARGETS: u32 = 3;

/// A started stream with its placement.
pub(crate) struct PlacedStream {
    pub(crate) guard: placement_guard::PlacementGuard,
    pub(crate) stream: started_stream::StartedStream,
}

/// How a generation starts or resumes.
pub(crate) enum OpenMode {
    /// With a new placement.
    NewPlacement,
    /// On the decode engine of its current placement.
    KeepPlacement(Box<placement_guard::PlacementGuard>),
}

/// Failure of a step of a generation.
pub(crate) struct StepError {
    pub(crate) failure: relay::StepFailure,
    /// Evidence that the engine didn't run the request.
    pub(crate) evidence: run_evidence::RunEvidence,
    pub(crate) server: ids::ServerName,
    pub(crate) engine: relay::BackendKey,
    /// Time at which the request was sent to the engine, if it was.
    pub(crate) sent_at: Option<clock::Timestamp>,
    pub(crate) error: String,
    /// Error response of the engine, if it may be relayed to the caller.
    pub(crate) reply: Option<buffered_reply::BufferedReply>,
}

/// Reason for which a generation didn't start.
pub(crate) enum OpenError {
    /// The request was refused a placement.
    Refused(relay::Refusal),
    /// The last attempt failed without an answer.
    Failed,
    /// The engines are out of reach, and another instance may reach them.
    OutOfReach,
    /// The engine answered with an error that is relayed to the caller.
    Reply(buffered_reply::BufferedReply),
}

/// Places a generation on engines and waits for its first event, with retries.
pub(crate) struct StreamOpener {
    pub(crate) gateway: sync::Arc<gateway::Gateway>,
    pub(crate) routed: gateway::RoutedRequest,
    pub(crate) trace: stream_trace::StreamTrace,
    /// Number of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
    /// Software version that began the stream, once an engine has sent an event.
    pub(super) software: Option<relay::SoftwareKey>,
    /// Whether the request takes up a stream that an instance of the fleet began.
    is_resumption: bool,
    /// Decode engines that may have run the request.
    ran_on: Vec<relay::BackendKey>,
    size: relay_request::GenerationSize,
    /// Engines that failed and are excluded from new placements.
    excluded: Vec<relay::BackendKey>,
    attempts: u32,
    /// Number of engines that couldn't be reached.
    unreachable: u32,
    counts: relay::AttemptCount,
    /// Prefill engine that has the prompt in its cache.
    warm_prefill: Option<(relay::BackendKey, relay::BackendEntry)>,
    /// Whether the decode engine of the current placement is retried without a prefill result.
    decode_retried: bool,
    /// Prefill engine whose result the decode engine refused, presumably because the result expired.
    lost_result: Option<relay::BackendKey>,
}

impl StreamOpener {
    pub(crate) fn new(
        gateway: sync::Arc<gateway::Gateway>,
        routed: gateway::RoutedRequest,
        size: relay_request::GenerationSize,
    ) -> Self {
        let trace = stream_trace::StreamTrace::new(sync::Arc::clone(&gateway), &routed);
        Self {
            gateway,
            trace,
            last_event: routed.request.resume_after,
            routed,
            software: None,
            is_resumption: false,
            ran_on: Vec::new(),
            size,
            excluded: Vec::new(),
            attempts: 0,
            unreachable: 0,
            counts: relay::AttemptCount::default(),
            warm_prefill: None,
            decode_retried: false,
            lost_result: None,
        }
    }

    /// Places the generation and waits for its first event, retrying where that is allowed.
    pub(crate) async fn open(&mut self, mode: OpenMode) -> Result<PlacedStream, OpenError> {
        let (mut guard, mut prefill, mut next) = match mode {
            OpenMode::NewPlacement => (
                self.request_placement().await?,
                None,
                relay::NextStep::Restart,
            ),
            OpenMode::KeepPlacement(guard) => (*guard, None, relay::NextStep::RetryDecode),
        };
        loop {
            let started = self.gateway.core.now();
            if let Some(refusal) = self.quarantine_refusal().or_else(|| self.late_refusal()) {
                guard.release(relay::BackendOutcome::Abandoned);
                self.free_prefill_result(&mut prefill);
                return Err(OpenError::Refused(refusal));
            }
            let failed = match self.attempt(&mut guard, &mut prefill, next).await {
                Ok(stream) => return Ok(PlacedStream { guard, stream }),
                Err(failed) => failed,
            };
            next = self.next_step(&failed, started);
            if self.should_hand_over() {
                self.release_placement(&mut guard, &failed);
                self.free_prefill_result(&mut prefill);
                return Err(OpenError::OutOfReach);
            }
            match next {
                relay::NextStep::MoveDecode if guard.move_decode(failed.failure.outcome) => {}
                relay::NextStep::RetryDecode => {
                    self.decode_retried = true;
                    self.attempts += 1;
                    prefill = None;
                }
                relay::NextStep::MoveDecode | relay::NextStep::Restart => {
                    next = relay::NextStep::Restart;
                    self.release_placement(&mut guard, &failed);
                    self.free_prefill_result(&mut prefill);
                    guard = self.request_placement().await?;
                }
                _ => {
                    self.release_placement(&mut guard, &failed);
                    self.free_prefill_result(&mut prefill);
                    return Err(failed.reply.map_or(OpenError::Failed, OpenError::Reply));
                }
            }
        }
    }

    async fn attempt(
        &mut self,
        guard: &mut placement_guard::PlacementGuard,
        prefill: &mut Option<prefill_step::PrefillResult>,
        next: relay::NextStep,
    ) -> Result<started_stream::StartedStream, StepError> {
        if next == relay::NextStep::Restart {
            self.decode_retried = false;
            *prefill = self.run_prefill(guard).await?;
        }
        self.generate(guard, prefill).await
    }

    /// Returns the refusal of a stream that can't be expected to end before this instance does.
    pub(crate) fn late_refusal(&self) -> Option<relay::Refusal> {
        self.gateway.core.drain_plan()?;
        let request = self.placement_request();
        let deadline = self.routed.deadline;
        self.gateway
            .core
            .decide(|core, now| core.late_stream(now, &request, deadline))
    }

    fn placement_request(&self) -> relay::StreamRequest {
        relay::StreamRequest::builder()
            .service(self.routed.service.clone())
            .priority(self.routed.priority())
            .workspace(self.routed.workspace_key())
            .prompt_tokens(self.size.prompt_tokens)
            .output_tokens(self.size.output_tokens)
            .maybe_expected_tokens(self.size.expected_tokens)
            .first_token_due(self.routed.arrived + self.routed.route.latency_target)
            .wait_until(self.wait_until())
            .resumes(self.trace.has_started() || self.is_resumption)
            .maybe_part(self.prompt_part())
            .maybe_software(self.bound_software())
            .maybe_warm_prefill(self.warm_prefill.as_ref().map(|(engine, _)| *engine))
            .suspects(self.routed.request.suspects())
            .avoid(self.excluded.clone())
            .build()
    }

    async fn request_placement(&mut self) -> Result<placement_guard::PlacementGuard, OpenError> {
        if let Some(refusal) = self.late_refusal() {
            return Err(OpenError::Refused(refusal));
        }
        let requested_at = self.gateway.core.now();
        let request = self.placement_request();
        let outcome = self.gateway.core.request_placement(request).await;
        let waited = self.gateway.core.now().since(requested_at);
        self.gateway.metrics.phase("queue", waited);
        match outcome {
            relay::PlacementOutcome::Placed(placement) => {
                self.attempts += 1;
                self.trace
                    .placed(&placement, self.attempts, waited, &self.size);
                Ok(placement_guard::PlacementGuard::new(
                    sync::Arc::clone(&self.gateway),
                    *placement,
                    self.routed.request.id.clone(),
                ))
            }
            relay::PlacementOutcome::Refused(refusal) => {
                self.log_share(refusal.reason);
                Err(OpenError::Refused(refusal))
            }
            relay::PlacementOutcome::Waiting(_) => Err(OpenError::Failed),
        }
    }

    /// Logs the share of the request's workspace if the request is refused for lack of capacity.
    fn log_share(&self, reason: relay::RefusalReason) {
        let is_scarce = matches!(
            reason,
            relay::RefusalReason::Overload | relay::RefusalReason::QueueTimeout
        );
        let Some(workspace) = self.routed.workspace.as_ref().filter(|_| is_scarce) else {
            return;
        };
        let key = self.routed.workspace_key();
        let service = &self.routed.service;
        let share = self
            .gateway
            .core
            .decide(|core, _| core.workspace_share(service, key));
        if let Some(share) = share {
            self.gateway
                .log
                .write(&decision_event::DecisionEvent::ShareRefused {
                    id: &self.routed.request.id,
                    workspace: workspace.name.as_str(),
                    reason: reason.into(),
                    share: share.used,
                    fair_share: share.fair,
                });
        }
    }

    /// Returns the time until which the request may wait for a placement.
    fn wait_until(&self) -> clock::Timestamp {
        let target = self.routed.route.latency_target;
        let queue_deadline = self.routed.arrived + target * QUEUE_WAIT_TARGETS;
        let latest = self.routed.deadline.before(target);
        if self.trace.has_started() {
            latest
        } else {
            queue_deadline.min(latest)
        }
    }

    fn send_options(
        &self,
        (key, entry): &(relay::BackendKey, relay::BackendEntry),
        step: relay_client::RelayStep,
        time_left: time::Duration,
    ) -> relay_client::SendOptions {
        relay_client::SendOptions::builder()
            .key(*key)
            .server(entry.server.clone())
            .address(entry.address)
            .step(step)
            .time_left(time_left)
            .start_by(self.routed.deadline)
            .build()
    }

    /// Releases a placement after a failure.
    fn release_placement(&self, guard: &mut placement_guard::PlacementGuard, failed: &StepError) {
        // A failure of the prefill engine doesn't count against the decode engine.
        let outcome = if failed.failure.step == relay::StreamStep::Prefill {
            relay::BackendOutcome::Abandoned
        } else {
            failed.failure.outcome
        };
        self.record_unread_prompt(&guard.placement, &failed.failure);
        guard.release(outcome);
    }
}
