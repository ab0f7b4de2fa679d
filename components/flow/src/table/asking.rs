//! Asking cell owners for a placement.

use std::time;

use crate::{flow_outcome, flow_spec, flow_stage, model_flow, output};

/// Time after which an unanswered ask is sent again.
const ASK_REPEAT: time::Duration = time::Duration::from_millis(250);

/// Longest time before asking again when the asked instance isn't ready to answer.
const OWNER_RETRY: time::Duration = time::Duration::from_millis(100);

/// Cells that are asked for one attempt, at the most.
const CELL_LIMIT: usize = 3;

/// Time after which a caller may ask again when no instance could be asked.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(1_000);

/// First-token target that applies when a class has been withdrawn.
const DEFAULT_FIRST_TOKEN: time::Duration = time::Duration::from_millis(710);

impl super::FlowTable {
    pub(super) fn begin(
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
        let first_due = now + first_token;
        let flow = model_flow::ModelFlow {
            spec,
            stage: flow_stage::FlowStage::Asking,
            attempt: ids::AttemptNumber(0),
            first_due,
            ask_until: first_due + can_wait,
            cell: ids::CellId::default(),
            owner: self.own,
            asked: false,
            tried: Vec::new(),
            placement: None,
            source: None,
            lease_until: now,
            retained: None,
            delivered: 0,
            resumes: 0,
            repeated: false,
            sent: false,
            reclaimed: false,
            wake_at: clock::Timestamp::MAX,
        };
        self.flows.insert(request, flow);
        self.ask(now, request, outputs);
    }

    /// Asks the best cell that hasn't refused this attempt.
    pub(super) fn ask(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        let choice = self.board.choose(&flow.spec.model, request, &flow.tried);
        let Some((cell, owner)) = choice else {
            self.refuse(
                now,
                request,
                place::RefusalReason::NoEngine,
                RETRY_AFTER,
                outputs,
            );
            return;
        };
        if flow.cell != cell || flow.owner != owner {
            withdraw(flow, outputs);
        }
        flow.stage = flow_stage::FlowStage::Asking;
        flow.cell = cell;
        flow.owner = owner;
        flow.asked = true;
        outputs.push(output::Output::Send(
            owner,
            place::Message::Ask(place_ask(now, flow)),
        ));
        let again = (now + ASK_REPEAT).min(flow.ask_until);
        self.wake_at(request, again);
    }

    pub(super) fn repeat_ask(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        if now < flow.ask_until {
            self.ask(now, request, outputs);
            return;
        }
        withdraw(flow, outputs);
        self.refuse(
            now,
            request,
            place::RefusalReason::FirstTokenLate,
            RETRY_AFTER,
            outputs,
        );
    }

    pub(super) fn take_refused(
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
        flow.asked = false;
        match flow.stage {
            flow_stage::FlowStage::Retargeting => {
                self.redo(now, request, crate::WasteCause::TransferFailed, outputs);
            }
            flow_stage::FlowStage::Asking if is_passing(refusal.reason) => {
                let again = now + refusal.retry_after.min(OWNER_RETRY);
                let again = again.min(flow.ask_until);
                self.wake_at(request, again);
            }
            flow_stage::FlowStage::Asking => {
                flow.tried.push(flow.cell);
                if flow.tried.len() < CELL_LIMIT && self.has_other_cell(request) {
                    self.ask(now, request, outputs);
                } else {
                    self.refuse(now, request, refusal.reason, refusal.retry_after, outputs);
                }
            }
            _ => {}
        }
    }

    /// Gives a request up; nothing of it runs any more.
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
        let outcome = if flow.sent {
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
            self.board
                .choose(&flow.spec.model, request, &flow.tried)
                .is_some()
        })
    }
}

fn withdraw(flow: &model_flow::ModelFlow, outputs: &mut Vec<output::Output>) {
    if flow.asked {
        let message = place::Message::Withdraw(flow.spec.request, flow.attempt);
        outputs.push(output::Output::Send(flow.owner, message));
    }
}

fn place_ask(now: clock::Timestamp, flow: &model_flow::ModelFlow) -> place::PlaceAsk {
    place::PlaceAsk::builder()
        .cell(flow.cell)
        .request(flow.spec.request)
        .attempt(flow.attempt)
        .class(flow.spec.class.clone())
        .workspace(flow.spec.workspace.clone())
        .model(flow.spec.model.clone())
        .prompt_tokens(flow.context_tokens())
        .max_tokens(flow.spec.max_tokens.saturating_sub(flow.delivered))
        .prefix_blocks(flow.spec.prefix_blocks.clone())
        .first_token_within(flow.first_due.since(now))
        .repeated(flow.repeated)
        .build()
}

/// Returns whether a refusal says more of the asked instance than of the request.
const fn is_passing(reason: place::RefusalReason) -> bool {
    matches!(
        reason,
        place::RefusalReason::NotOwner | place::RefusalReason::TakingOver
    )
}
