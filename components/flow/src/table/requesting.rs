//! Placement requests to cell owners.

use std::time;

use crate::{flow_outcome, flow_spec, flow_stage, model_flow, output};

/// Delay after which an unanswered placement request is sent again.
const REQUEST_RETRY_DELAY: time::Duration = time::Duration::from_millis(250);

/// Longest delay before a retry after a transient refusal.
const MAX_OWNER_RETRY_DELAY: time::Duration = time::Duration::from_millis(100);

/// Largest number of cells that are tried for one attempt.
const CELL_LIMIT: usize = 3;

/// Retry delay returned to the caller when no cell is available or no placement was granted before
/// the deadline.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(1_000);

/// First-token target of requests whose class is no longer in force.
const DEFAULT_FIRST_TOKEN: time::Duration = time::Duration::from_millis(710);

impl super::FlowTable {
    /// Starts a model request that has arrived; a request id in use is ignored.
    pub(super) fn start_flow(
        &mut self,
        now: clock::Timestamp,
        spec: flow_spec::FlowSpec,
        outputs: &mut Vec<output::Output>,
    ) {
        let request = spec.request;
        if self.flows.contains_key(&request) {
            return;
        }
        let (first_token, can_wait) = self.class_times(&spec.class);
        let first_token_deadline = now + first_token;
        let flow = model_flow::ModelFlow {
            spec,
            stage: flow_stage::FlowStage::Requesting,
            attempt: ids::AttemptNumber(0),
            first_token_deadline,
            placement_deadline: first_token_deadline + can_wait,
            cell: ids::CellId::default(),
            owner: self.own,
            awaits_response: false,
            refused_cells: Vec::new(),
            placement: None,
            source_address: None,
            lease_until: now,
            retained: None,
            delivered: 0,
            resume_count: 0,
            is_retry: false,
            was_sent: false,
            claimed_again: false,
            wake_at: clock::Timestamp::MAX,
        };
        self.flows.insert(request, flow);
        self.request_placement(now, request, outputs);
    }

    /// Requests a placement from the best cell that has not refused this attempt, or refuses the
    /// request if there is none.
    pub(super) fn request_placement(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        let selection = self
            .directory
            .select(&flow.spec.model, request, &flow.refused_cells);
        let Some((cell, owner)) = selection else {
            self.refuse(
                now,
                request,
                place::RefusalReason::NoEngine,
                RETRY_DELAY,
                outputs,
            );
            return;
        };
        if flow.cell != cell || flow.owner != owner {
            withdraw(flow, outputs);
        }
        flow.stage = flow_stage::FlowStage::Requesting;
        flow.cell = cell;
        flow.owner = owner;
        flow.awaits_response = true;
        outputs.push(output::Output::Send(
            owner,
            place::Message::Request(placement_request(now, flow)),
        ));
        let retry_at = (now + REQUEST_RETRY_DELAY).min(flow.placement_deadline);
        self.wake_at(request, retry_at);
    }

    /// Retries a placement request that is unanswered or was refused for a transient reason, or
    /// refuses the request at its deadline.
    pub(super) fn retry_request(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        if now < flow.placement_deadline {
            self.request_placement(now, request, outputs);
            return;
        }
        withdraw(flow, outputs);
        self.refuse(
            now,
            request,
            place::RefusalReason::FirstTokenLate,
            RETRY_DELAY,
            outputs,
        );
    }

    /// Handles a refusal: retries a transient one, tries another cell or refuses the request.
    pub(super) fn handle_refusal(
        &mut self,
        now: clock::Timestamp,
        refusal: &place::Refusal,
        outputs: &mut Vec<output::Output>,
    ) {
        let request = refusal.request;
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        if flow.attempt != refusal.attempt {
            return;
        }
        flow.awaits_response = false;
        match flow.stage {
            flow_stage::FlowStage::Retargeting => {
                self.restart_after_loss(now, request, crate::WasteCause::TransferFailed, outputs);
            }
            flow_stage::FlowStage::Requesting if is_transient(refusal.reason) => {
                let retry_at = now + refusal.retry_after.min(MAX_OWNER_RETRY_DELAY);
                let retry_at = retry_at.min(flow.placement_deadline);
                self.wake_at(request, retry_at);
            }
            flow_stage::FlowStage::Requesting => {
                flow.refused_cells.push(flow.cell);
                if flow.refused_cells.len() < CELL_LIMIT && self.has_other_cell(request) {
                    self.request_placement(now, request, outputs);
                } else {
                    self.refuse(now, request, refusal.reason, refusal.retry_after, outputs);
                }
            }
            _ => {}
        }
    }

    /// Ends a request without a placement: as refused, or as broken if an engine may have
    /// received the request.
    pub(super) fn refuse(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        reason: place::RefusalReason,
        retry_after: time::Duration,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let outcome = if flow.was_sent {
            flow_outcome::FlowOutcome::Broken {
                outcome: border::Outcome::Unknown,
                delivered: flow.delivered,
            }
        } else {
            flow_outcome::FlowOutcome::Refused {
                reason,
                retry_after,
            }
        };
        self.finish(now, request, outcome, outputs);
    }

    /// Returns the first-token target and the allowed wait of a request class.
    pub(super) fn class_times(&self, class: &ids::ClassName) -> (time::Duration, time::Duration) {
        match self.state.classes.get(class).map(|class| &class.target) {
            Some(note::ClassTarget::Generation(class)) => (
                time::Duration::from_millis(class.first_token_ms.into()),
                time::Duration::from_millis(class.can_wait_ms.into()),
            ),
            _ => (DEFAULT_FIRST_TOKEN, time::Duration::ZERO),
        }
    }

    fn has_other_cell(&self, request: ids::RequestId) -> bool {
        self.flows.get(&request).is_some_and(|flow| {
            self.directory
                .select(&flow.spec.model, request, &flow.refused_cells)
                .is_some()
        })
    }
}

fn withdraw(flow: &model_flow::ModelFlow, outputs: &mut Vec<output::Output>) {
    if flow.awaits_response {
        let message = place::Message::Withdraw(flow.spec.request, flow.attempt);
        outputs.push(output::Output::Send(flow.owner, message));
    }
}

fn placement_request(
    now: clock::Timestamp,
    flow: &model_flow::ModelFlow,
) -> place::PlacementRequest {
    place::PlacementRequest::builder()
        .cell(flow.cell)
        .request(flow.spec.request)
        .attempt(flow.attempt)
        .class(flow.spec.class.clone())
        .workspace(flow.spec.workspace.clone())
        .model(flow.spec.model.clone())
        .prompt_tokens(flow.context_tokens())
        .max_tokens(flow.spec.max_tokens.saturating_sub(flow.delivered))
        .prefix_blocks(flow.spec.prefix_blocks.clone())
        .first_token_within(flow.first_token_deadline.since(now))
        .is_retry(flow.is_retry)
        .build()
}

/// Returns whether a refusal is due to a change of the cell's owner, so that a retry may succeed.
const fn is_transient(reason: place::RefusalReason) -> bool {
    matches!(
        reason,
        place::RefusalReason::NotOwner | place::RefusalReason::TakingOver
    )
}
