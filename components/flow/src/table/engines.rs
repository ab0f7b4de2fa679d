//! Driving a placed request at its engines.

use std::time;

use crate::{flow_outcome, flow_stage, model_flow, output, waste_cause};

/// Attempts of one request, at the most.
const ATTEMPT_LIMIT: u32 = 5;

/// Resumptions of one stream without a new token, at the most.
const RESUME_LIMIT: u32 = 2;

/// Part of the retention after which a transfer is moved to another engine, in percent.
const IMPORT_PATIENCE_PERCENT: u32 = 75;

/// Retention that must be left to move a transfer to another engine.
const RETARGET_MARGIN: time::Duration = time::Duration::from_millis(20);

impl super::FlowTable {
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
            self.replace(now, request, outputs);
            return;
        }
        flow.stage = flow_stage::FlowStage::Prefilling;
        flow.sent = true;
        outputs.push(output::Output::Prefill {
            request,
            attempt: flow.attempt,
            engine: placement.prefill.clone(),
        });
    }

    pub(super) fn take_prefill(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        result: Result<border::PrefillResult, border::BorderError>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.current(request, attempt, flow_stage::FlowStage::Prefilling) else {
            self.endings.cancel_late(request, attempt, outputs);
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
                flow.sent = flow.repeated || flow.delivered > 0;
                self.replace(now, request, outputs);
            }
            Err(_) => self.redo(now, request, waste_cause::WasteCause::PrefillLost, outputs),
        }
    }

    /// Moves the retained KV cache to the placed decode engine.
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
        let Some(source) = flow.source else {
            self.redo(
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
        let patience = retained.until.since(now) * IMPORT_PATIENCE_PERCENT / 100;
        self.wake_at(request, now + patience);
    }

    pub(super) fn take_import(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        result: &Result<(), border::BorderError>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.current(request, attempt, flow_stage::FlowStage::Importing) else {
            self.endings.cancel_late(request, attempt, outputs);
            return;
        };
        if result.is_err() {
            self.retarget(now, request, outputs);
            return;
        }
        flow.stage = flow_stage::FlowStage::Decoding;
        flow.resumes = 0;
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

    pub(super) fn take_progress(
        &mut self,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        offset: u32,
    ) {
        let Some(flow) = self.current(request, attempt, flow_stage::FlowStage::Decoding) else {
            return;
        };
        if offset > flow.delivered {
            flow.delivered = offset;
            flow.resumes = 0;
        }
    }

    pub(super) fn take_end(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        result: Result<border::FinishReason, border::BorderError>,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.current(request, attempt, flow_stage::FlowStage::Decoding) else {
            self.endings.cancel_late(request, attempt, outputs);
            return;
        };
        match result {
            Ok(finish) => {
                let outcome = flow_outcome::FlowOutcome::Answered(finish);
                self.finish(now, request, outcome, outputs);
            }
            Err(border::BorderError::Lost { .. }) if flow.resumes < RESUME_LIMIT => {
                flow.resumes += 1;
                self.decode(request, outputs);
            }
            Err(_) => self.redo(now, request, waste_cause::WasteCause::DecodeLost, outputs),
        }
    }

    /// Asks for another decode engine while the prefill result is retained.
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
            self.redo(
                now,
                request,
                waste_cause::WasteCause::TransferFailed,
                outputs,
            );
            return;
        }
        let failed = placement.decode.clone();
        let lease = placement.lease;
        self.endings
            .cancel(now, &failed, request, flow.attempt, outputs);
        flow.attempt = flow.attempt.next();
        flow.stage = flow_stage::FlowStage::Retargeting;
        let ask = place::RetargetAsk {
            lease,
            request,
            attempt: flow.attempt,
            failed,
            retained_for,
        };
        outputs.push(output::Output::Send(
            flow.owner,
            place::Message::Retarget(ask),
        ));
        self.wake_at(request, now + retained_for);
    }

    /// Gives up what was prefilled and starts over if the request may still be answered.
    pub(super) fn redo(
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
        flow.repeated = true;
        let is_late = flow.delivered == 0 && now >= flow.first_due;
        if is_late || flow.attempt.0 + 1 >= ATTEMPT_LIMIT {
            let outcome = flow_outcome::FlowOutcome::Broken {
                outcome: border::Outcome::Unknown,
                delivered: flow.delivered,
            };
            self.finish(now, request, outcome, outputs);
            return;
        }
        self.replace(now, request, outputs);
    }

    /// Gives the placement back and asks for another one.
    pub(super) fn replace(
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
        flow.tried.clear();
        flow.reclaimed = false;
        flow.resumes = 0;
        flow.stage = flow_stage::FlowStage::Asking;
        if flow.delivered > 0 {
            let class = flow.spec.class.clone();
            let (first_token, _) = self.class_times(&class);
            if let Some(flow) = self.flows.get_mut(&request) {
                flow.first_due = now + first_token;
                flow.ask_until = now + first_token;
            }
        }
        self.wake_at(request, clock::Timestamp::MAX);
        self.ask(now, request, outputs);
    }

    fn current(
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
