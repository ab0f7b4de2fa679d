//! Completion of requests and release of the engine memory they hold.

use std::{collections, time};

use crate::{flow_outcome, flow_stage, output, waste_cause};

/// Delay after which a cancellation is sent again, since it may reach the engine before the work.
const CANCEL_RETRY_DELAY: time::Duration = time::Duration::from_secs(1);

/// A cancelled attempt at an engine.
#[derive(Clone, Debug)]
struct Cancellation {
    engine: ids::ServerName,
    request: ids::RequestId,
    attempt: ids::AttemptNumber,
}

/// Recent cancellations, ordered by the time of their retry.
#[derive(Clone, Debug, Default)]
pub(crate) struct CancellationList {
    last_sequence: u64,
    by_retry_time: collections::BTreeMap<(clock::Timestamp, u64), Cancellation>,
}

impl CancellationList {
    /// Returns the time of the next cancellation retry.
    pub(crate) fn next(&self) -> clock::Timestamp {
        self.by_retry_time
            .first_key_value()
            .map_or(clock::Timestamp::MAX, |((at, _), _)| *at)
    }

    /// Cancels an attempt at an engine immediately and schedules one retry.
    pub(crate) fn cancel(
        &mut self,
        now: clock::Timestamp,
        engine: &ids::ServerName,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        outputs: &mut Vec<output::Output>,
    ) {
        self.last_sequence += 1;
        let cancellation = Cancellation {
            engine: engine.clone(),
            request,
            attempt,
        };
        outputs.push(cancellation.output());
        self.by_retry_time
            .insert((now + CANCEL_RETRY_DELAY, self.last_sequence), cancellation);
    }

    /// Repeats the recent cancellations of an attempt that an engine has reported a result for.
    pub(crate) fn cancel_again(
        &self,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
        outputs: &mut Vec<output::Output>,
    ) {
        let matching = self.by_retry_time.values().filter(|cancellation| {
            cancellation.request == request && cancellation.attempt == attempt
        });
        outputs.extend(matching.map(Cancellation::output));
    }

    /// Repeats the cancellations that are due and removes them.
    pub(crate) fn retry_due(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        while let Some(entry) = self.by_retry_time.first_entry() {
            if entry.key().0 > now {
                return;
            }
            outputs.push(entry.remove().output());
        }
    }
}

impl Cancellation {
    fn output(&self) -> output::Output {
        output::Output::Cancel(self.engine.clone(), self.request, self.attempt)
    }
}

impl super::FlowTable {
    /// Reports the outcome to the caller and releases the engines and the lease.
    pub(super) fn finish(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outcome: flow_outcome::FlowOutcome,
        outputs: &mut Vec<output::Output>,
    ) {
        if let flow_outcome::FlowOutcome::Answered(_) = outcome {
            self.clear_engines(request);
        }
        self.release(now, request, place::LeasePhase::Released, outputs);
        self.wake_at(request, clock::Timestamp::MAX);
        self.flows.remove(&request);
        outputs.push(output::Output::Finish(request, outcome));
    }

    /// Ends a request whose caller has disconnected.
    pub(super) fn abandon(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        if flow.awaits_response {
            let message = place::Message::Withdraw(request, flow.attempt);
            outputs.push(output::Output::Send(flow.owner, message));
        }
        if flow.has_started_prefill() {
            let cause = waste_cause::WasteCause::CallerGone;
            outputs.push(output::Output::Wasted(flow.context_tokens(), cause));
        }
        self.release(now, request, place::LeasePhase::Released, outputs);
        self.wake_at(request, clock::Timestamp::MAX);
        self.flows.remove(&request);
    }

    /// Cancels the work at the engines and reports `phase` as the final phase of the lease.
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
            self.cancellations
                .cancel(now, &engine, request, attempt, outputs);
        }
        if let Some(update) = flow.lease_update(phase) {
            let message = place::Message::Updates(vec![update]);
            outputs.push(output::Output::Send(flow.owner, message));
        }
        flow.retained = None;
        flow.placement = None;
    }

    /// Sets an answered request to the stage `Requesting`, which uses no engine, so that `release`
    /// cancels nothing: the engines hold no memory for the request.
    fn clear_engines(&mut self, request: ids::RequestId) {
        if let Some(flow) = self.flows.get_mut(&request) {
            flow.retained = None;
            flow.stage = flow_stage::FlowStage::Requesting;
        }
    }
}
