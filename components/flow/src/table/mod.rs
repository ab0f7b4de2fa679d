//! The state machine of the model requests of an entry instance.

mod completion;
mod engines;
mod leases;
mod requesting;

use std::{collections, sync, time};

use crate::{cell_directory, flow_stage, flow_timers, input, model_flow, output};

/// Interval between lease digests until the first placement gives the duration of a lease.
const INITIAL_DIGEST_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Number of digests sent within the duration of a lease, so that the loss of one digest does not
/// end the lease.
const DIGESTS_PER_LEASE: u32 = 3;

/// The model requests of one entry instance.
#[derive(Clone, Debug)]
pub struct FlowTable {
    own: ids::InstanceId,
    state: sync::Arc<note::StateInForce>,
    directory: cell_directory::CellDirectory,
    flows: collections::BTreeMap<ids::RequestId, model_flow::ModelFlow>,
    timers: flow_timers::FlowTimers,
    cancellations: completion::CancellationList,
    digest_interval: time::Duration,
    next_digest: clock::Timestamp,
}

impl FlowTable {
    /// Creates a table without requests; the seed is not used.
    #[must_use]
    pub fn new(own: ids::InstanceId, _seed: u64) -> Self {
        Self {
            own,
            state: sync::Arc::default(),
            directory: cell_directory::CellDirectory::default(),
            flows: collections::BTreeMap::new(),
            timers: flow_timers::FlowTimers::default(),
            cancellations: completion::CancellationList::default(),
            digest_interval: INITIAL_DIGEST_INTERVAL,
            next_digest: clock::Timestamp::default(),
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flows.len()
    }

    /// Returns the time at which [`Input::Wake`](input::Input::Wake) is next due.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        let next_digest = if self.flows.is_empty() {
            clock::Timestamp::MAX
        } else {
            self.next_digest
        };
        self.timers
            .next()
            .min(next_digest)
            .min(self.cancellations.next())
    }

    /// Handles one input at time `now` and appends the resulting actions to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Timestamp,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        match input {
            input::Input::Arrived(spec) => self.start_flow(now, spec, outputs),
            input::Input::Place(from, message) => self.handle_message(now, from, message, outputs),
            input::Input::Prefilled(request, attempt, result) => {
                self.handle_prefill_result(now, request, attempt, result, outputs);
            }
            input::Input::Imported(request, attempt, result) => {
                self.handle_import_result(now, request, attempt, &result, outputs);
            }
            input::Input::Delivered(request, attempt, offset) => {
                self.update_progress(request, attempt, offset);
            }
            input::Input::DecodeEnded(request, attempt, offset, result) => {
                self.update_progress(request, attempt, offset);
                self.handle_stream_end(now, request, attempt, result, outputs);
            }
            input::Input::CallerGone(request) => self.abandon(now, request, outputs),
            input::Input::State(state) => {
                let changed = self.directory.update_state(&state);
                self.state = state;
                self.handle_owner_changes(now, &changed, outputs);
            }
            input::Input::View(view) => {
                let changed = self.directory.update_view(view);
                self.handle_owner_changes(now, &changed, outputs);
            }
            // Requests in flight continue while the instance drains.
            input::Input::DrainStarted => {}
            input::Input::Wake => self.wake(now, outputs),
        }
    }

    fn handle_message(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        message: place::Message,
        outputs: &mut Vec<output::Output>,
    ) {
        match message {
            place::Message::Placed(placement) => {
                self.handle_placement(now, from, placement, outputs)
            }
            place::Message::Refused(refusal) => self.handle_refusal(now, &refusal, outputs),
            place::Message::Revoked(leases) => self.handle_revocations(now, &leases, outputs),
            place::Message::Capacity(adverts) => self.directory.update_capacity(adverts),
            place::Message::RequestClaims(cell) => self.send_claims(cell, from, outputs),
            place::Message::Request(_)
            | place::Message::Withdraw(..)
            | place::Message::Updates(_)
            | place::Message::Holding(..)
            | place::Message::Retarget(_)
            | place::Message::Claims(..) => {}
        }
    }

    fn handle_owner_changes(
        &mut self,
        now: clock::Timestamp,
        changed: &[ids::CellId],
        outputs: &mut Vec<output::Output>,
    ) {
        if changed.is_empty() {
            return;
        }
        let changed: collections::BTreeSet<ids::CellId> = changed.iter().copied().collect();
        self.send_claims_for_cells(&changed, outputs);
        let requesting: Vec<ids::RequestId> = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.stage == flow_stage::FlowStage::Requesting)
            .filter(|(_, flow)| changed.contains(&flow.cell))
            .map(|(request, _)| *request)
            .collect();
        for request in requesting {
            self.request_placement(now, request, outputs);
        }
    }

    fn wake(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        while let Some(request) = self.timers.pop_due(now) {
            self.wake_flow(now, request, outputs);
        }
        self.cancellations.retry_due(now, outputs);
        if now >= self.next_digest {
            self.next_digest = now + self.digest_interval;
            self.send_lease_digests(outputs);
        }
    }

    fn wake_flow(
        &mut self,
        now: clock::Timestamp,
        request: ids::RequestId,
        outputs: &mut Vec<output::Output>,
    ) {
        let Some(flow) = self.flows.get_mut(&request) else {
            return;
        };
        flow.wake_at = clock::Timestamp::MAX;
        match flow.stage {
            flow_stage::FlowStage::Requesting => self.retry_request(now, request, outputs),
            flow_stage::FlowStage::Waiting { .. } => self.start_prefill(now, request, outputs),
            flow_stage::FlowStage::Importing => self.retarget(now, request, outputs),
            flow_stage::FlowStage::Retargeting => {
                self.restart_after_loss(now, request, crate::WasteCause::TransferFailed, outputs);
            }
            flow_stage::FlowStage::Prefilling | flow_stage::FlowStage::Decoding => {}
        }
    }

    fn wake_at(&mut self, request: ids::RequestId, at: clock::Timestamp) {
        if let Some(flow) = self.flows.get_mut(&request) {
            self.timers.replace(request, flow.wake_at, at);
            flow.wake_at = at;
        }
    }
}
