//! Ending requests and freeing what engines hold for them.

use std::{collections, time};

use crate::{flow_outcome, flow_stage, output, waste_cause};

/// Time after which a cancellation is repeated, in case it overtook the work.
const CANCEL_REPEAT: time::Duration = time::Duration::from_secs(1);

/// Work at an engine that was cancelled.
#[derive(Clone, Debug)]
struct Ending {
    engine: ids::ServerName,
    request: ids::RequestId,
    attempt: ids::AttemptNumber,
}

/// Work that was cancelled lately, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndingList {
    count: u64,
    by_time: collections::BTreeMap<(clock::Timestamp, u64), Ending>,
}

impl EndingList {
    /// Returns when a cancellation is to be repeated.
    pub(crate) fn next(&self) -> clock::Timestamp {
        self.by_time
            .first_key_value()
            .map_or(clock::Timestamp::MAX, |((at, _), _)| *at)
    }

    /// Cancels work at an engine, now and once more later.
    pub(crate) fn cancel(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        outputs: &mut Vec<output::Output>,
    ) {
        self.count += 1;
        let ending = Ending {
            engine: engine.clone(),
            request,
            attempt,
        };
        outputs.push(ending.output());
        self.by_time
            .insert((now + CANCEL_REPEAT, self.count), ending);
    }

    /// Cancels again the work of an attempt that has just shown life.
    pub(crate) fn cancel_late(
        &self,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        outputs: &mut Vec<output::Output>,
    ) {
        let late = self
            .by_time
            .values()
            .filter(|ending| ending.request == request && ending.attempt == attempt);
        outputs.extend(late.map(Ending::output));
    }

    /// Repeats the cancellations that are due and forgets them.
    pub(crate) fn repeat_due(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        while let Some(entry) = self.by_time.first_entry() {
            if entry.key().0 > now {
                return;
            }
            outputs.push(entry.remove().output());
        }
    }
}

impl Ending {
    fn output(&self) -> output::Output {
        output::Output::Cancel(self.engine.clone(), self.request, self.attempt)
    }
}

impl super::FlowTable {
    /// Answers the caller and gives everything back.
    pub(super) fn finish(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outcome: flow_outcome::FlowOutcome,
        outputs: &mut Vec<output::Output>,
    ) {
        if let flow_outcome::FlowOutcome::Answered(_) = outcome {
            self.forget_engines(request);
        }
        self.release(now, request, place::LeasePhase::Released, outputs);
        self.wake_at(request, clock::Timestamp::MAX);
        self.flows.remove(&request);
        outputs.push(output::Output::Finish(request, outcome));
    }

    /// Ends a request whose caller is gone.
    pub(super) fn abandon(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        if flow.asked {
            let message = place::Message::Withdraw(request, flow.attempt);
            outputs.push(output::Output::Send(flow.owner, message));
        }
        if flow.has_prefilled() {
            let cause = waste_cause::WasteCause::CallerGone;
            outputs.push(output::Output::Wasted(flow.context_tokens(), cause));
        }
        self.release(now, request, place::LeasePhase::Released, outputs);
        self.wake_at(request, clock::Timestamp::MAX);
        self.flows.remove(&request);
    }

    /// Cancels the work at the engines and returns the lease.
    pub(super) fn release(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        phase: place::LeasePhase,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        for (engine, attempt) in flow.engines() {
            self.endings.cancel(now, &engine, request, attempt, outputs);
        }
        if let Some(update) = flow.update(phase) {
            let message = place::Message::Updates(vec![update]);
            outputs.push(output::Output::Send(flow.owner, message));
        }
        flow.retained = None;
        flow.placement = None;
    }

    /// Drops the engines of an answered request, which hold nothing for it any more.
    fn forget_engines(&mut self, request: ids::RequestId) {
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.retained = None;
            flow.stage = flow_stage::FlowStage::Asking;
        }
    }
}
