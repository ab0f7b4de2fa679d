//! Prefill, transfer and decode of a placed request.

use std::time;

use crate::{flow_outcome, flow_stage, model_flow, output, waste_cause};

/// Largest number of attempts of one request.
const ATTEMPT_LIMIT: u32 = 5;

/// Largest number of times a stream is resumed without a new token.
const RESUME_LIMIT: u32 = 2;

/// Timeout of a transfer before it is moved to another engine, in percent of the retention.
const IMPORT_TIMEOUT_PERCENT: u32 = 75;

/// Retention that must remain for a transfer to be moved to another engine.
const RETARGET_MARGIN: time::Duration = time::Duration::from_millis(20);

impl super::FlowTable {
    /// Starts prefill, or requests a new placement if the lease has expired.
    pub(super) fn start_prefill(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        let Some(placement) = &flow.placement else {
            return;
        };
        if now >= flow.lease_until {
            self.request_new_placement(now, request, outputs);
            return;
        }
        flow.stage = flow_stage::FlowStage::Prefilling;
        flow.was_sent = true;
        outputs.push(output::Output::Prefill {
            request,
            attempt: flow.attempt,
            engine: placement.prefill.clone(),
        });
    }

    /// Handles the result of a prefill; for an earlier attempt, the cancellation is sent again.
    pub(super) fn handle_prefill_result(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        result: Result<border::PrefillResult, border::BorderError>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.current_flow(request, attempt, flow_stage::FlowStage::Prefilling)
        else {
            self.cancellations.cancel_again(request, attempt, outputs);
            return;
        };
        let Some(placement) = flow.placement.clone() else {
            return;
        };
        match result {
            Ok(result) => {
                let retention = time::Duration::from_millis(result.retention_ms.into());
                flow.retained = Some(model_flow::RetainedCache {
                    engine: placement.prefill,
                    attempt,
                    result,
                    until: now + retention,
                });
                self.import(now, request, outputs);
            }
            Err(error) if error.proves_not_run() => {
                // Only earlier attempts may have reached an engine.
                flow.was_sent = flow.is_retry || flow.delivered > 0;
                self.request_new_placement(now, request, outputs);
            }
            Err(_) => {
                self.restart_after_loss(now, request, waste_cause::WasteCause::PrefillLost, outputs)
            }
        }
    }

    /// Transfers the retained KV cache to the placed decode engine.
    pub(super) fn import(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        let (Some(placement), Some(retained)) = (&flow.placement, &flow.retained) else {
            return;
        };
        let Some(source) = flow.source_address else {
            self.restart_after_loss(
                now,
                request,
                waste_cause::WasteCause::TransferFailed,
                outputs,
            );
            return;
        };
        let job = border::TransferJob::builder()
            .request(request)
            .attempt(flow.attempt)
            .entry(self.own)
            .source(source)
            .kv_handle(retained.result.kv_handle)
            .prompt_tokens(retained.result.prompt_tokens)
            .kv_pieces(placement.kv_pieces)
            .build();
        outputs.push(output::Output::Import {
            engine: placement.decode.clone(),
            job,
        });
        flow.stage = flow_stage::FlowStage::Importing;
        let import_timeout = retained.until.since(now) * IMPORT_TIMEOUT_PERCENT / 100;
        self.wake_at(request, now + import_timeout);
    }

    /// Handles the result of a transfer; for an earlier attempt, the cancellation is sent again.
    pub(super) fn handle_import_result(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        result: &Result<(), border::BorderError>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.current_flow(request, attempt, flow_stage::FlowStage::Importing)
        else {
            self.cancellations.cancel_again(request, attempt, outputs);
            return;
        };
        if result.is_err() {
            self.retarget(now, request, outputs);
            return;
        }
        flow.stage = flow_stage::FlowStage::Decoding;
        flow.resume_count = 0;
        flow.retained = None;
        self.wake_at(request, clock::Timestamp::MAX);
        self.decode(request, outputs);
        self.send_update(request, place::LeasePhase::Decode, outputs);
    }

    fn decode(&self, request: ids::RequestId, outputs: &mut Vec<output::Output>) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let Some(placement) = &flow.placement else {
            return;
        };
        let priority = match self
            .state
            .classes
            .get(&flow.spec.class)
            .map(|class| &class.target)
        {
            Some(note::ClassTarget::Generation(class)) => class.priority,
            _ => 0,
        };
        let job = border::DecodeJob::builder()
            .request(request)
            .attempt(flow.attempt)
            .max_tokens(flow.spec.max_tokens)
            .offset(flow.delivered)
            .priority(priority)
            .build();
        outputs.push(output::Output::Decode {
            engine: placement.decode.clone(),
            job,
        });
    }

    /// Records that the caller has received all tokens below `offset`.
    pub(super) fn update_progress(
        &mut self,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        offset: u32,
    ) {
        let Some(flow) = self.current_flow(request, attempt, flow_stage::FlowStage::Decoding)
        else {
            return;
        };
        if offset > flow.delivered {
            flow.delivered = offset;
            flow.resume_count = 0;
        }
    }

    /// Handles the end of a token stream: finishes, resumes or restarts the request.
    pub(super) fn handle_stream_end(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        result: Result<border::FinishReason, border::BorderError>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.current_flow(request, attempt, flow_stage::FlowStage::Decoding)
        else {
            self.cancellations.cancel_again(request, attempt, outputs);
            return;
        };
        match result {
            Ok(finish) => {
                let outcome = flow_outcome::FlowOutcome::Answered(finish);
                self.finish(now, request, outcome, outputs);
            }
            Err(border::BorderError::Lost { .. }) if flow.resume_count < RESUME_LIMIT => {
                flow.resume_count += 1;
                self.decode(request, outputs);
            }
            Err(_) => {
                self.restart_after_loss(now, request, waste_cause::WasteCause::DecodeLost, outputs)
            }
        }
    }

    /// Requests another decode engine while the prefill result is retained.
    ///
    /// If the remaining retention is at most `RETARGET_MARGIN` or no attempt remains, the prefill
    /// result is discarded instead.
    pub(super) fn retarget(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        let retained_for = flow.retained.as_ref().map(|cache| cache.until.since(now));
        let (Some(placement), Some(retained_for)) = (&flow.placement, retained_for) else {
            return;
        };
        if retained_for <= RETARGET_MARGIN || flow.attempt.0 + 1 >= ATTEMPT_LIMIT {
            self.restart_after_loss(
                now,
                request,
                waste_cause::WasteCause::TransferFailed,
                outputs,
            );
            return;
        }
        let failed = placement.decode.clone();
        let lease = placement.lease;
        self.cancellations
            .cancel(now, &failed, request, flow.attempt, outputs);
        flow.attempt = flow.attempt.next();
        flow.stage = flow_stage::FlowStage::Retargeting;
        let retarget_request = place::RetargetRequest {
            lease,
            request,
            attempt: flow.attempt,
            failed,
            retained_for,
        };
        outputs.push(output::Output::Send(
            flow.owner,
            place::Message::Retarget(retarget_request),
        ));
        self.wake_at(request, now + retained_for);
    }

    /// Discards the prefill result and starts a new attempt, unless the first-token deadline has
    /// passed or `ATTEMPT_LIMIT` is reached.
    pub(super) fn restart_after_loss(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        cause: waste_cause::WasteCause,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        outputs.push(output::Output::Wasted(flow.context_tokens(), cause));
        flow.is_retry = true;
        let deadline_passed = flow.delivered == 0 && now >= flow.first_token_deadline;
        if deadline_passed || flow.attempt.0 + 1 >= ATTEMPT_LIMIT {
            let outcome = flow_outcome::FlowOutcome::Broken {
                outcome: border::Outcome::Unknown,
                delivered: flow.delivered,
            };
            self.finish(now, request, outcome, outputs);
            return;
        }
        self.request_new_placement(now, request, outputs);
    }

    /// Releases the placement and requests another one under a new attempt.
    pub(super) fn request_new_placement(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        self.release(now, request, place::LeasePhase::Failed, outputs);
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        if flow.attempt.0 + 1 >= ATTEMPT_LIMIT {
            let reason = place::RefusalReason::NoEngine;
            self.refuse(now, request, reason, time::Duration::from_secs(1), outputs);
            return;
        }
        flow.attempt = flow.attempt.next();
        flow.refused_cells.clear();
        flow.claimed_again = false;
        flow.resume_count = 0;
        flow.stage = flow_stage::FlowStage::Requesting;
        // An answer that has started gets new deadlines, without the class's allowed wait.
        if flow.delivered > 0 {
            let class = flow.spec.class.clone();
            let (first_token, _) = self.class_times(&class);
            if let Some(flow) = self.flows.get_mut(&request) {
                flow.first_token_deadline = now + first_token;
                flow.placement_deadline = now + first_token;
            }
        }
        self.wake_at(request, clock::Timestamp::MAX);
        self.request_placement(now, request, outputs);
    }

    fn current_flow(
        &mut self,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        stage: flow_stage::FlowStage,
    ) -> Option<&mut model_flow::ModelFlow> {
        self.flows
            .get_mut(&request)
            .filter(|flow| flow.attempt == attempt && flow.stage == stage)
    }
}
