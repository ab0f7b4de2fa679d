//! The state machine of model requests.

mod asking;
mod ending;
mod engines;
mod leases;

use std::{collections, sync, time};

use crate::{cell_board, flow_stage, flow_timers, input, model_flow, output};

/// Time between two extensions of the leases before an owner has said how long they hold.
const EXTENSION_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Extensions of a lease within the time it holds, so that losing some doesn't end it.
const EXTENSIONS_PER_LEASE: u32 = 3;

/// The model requests of one entry instance.
#[derive(Clone, Debug)]
pub struct FlowTable {
    own: ids::InstanceId,
    state: sync::Arc<note::StateInForce>,
    board: cell_board::CellBoard,
    flows: collections::BTreeMap<ids::RequestId, model_flow::ModelFlow>,
    timers: flow_timers::FlowTimers,
    endings: ending::EndingList,
    extension_interval: time::Duration,
    next_extension: clock::Timestamp,
}

impl FlowTable {
    /// Makes a table without requests.
    #[must_use]
    pub fn new(own: ids::InstanceId, _seed: u64) -> Self {
        Self {
            own,
            state: sync::Arc::default(),
            board: cell_board::CellBoard::default(),
            flows: collections::BTreeMap::new(),
            timers: flow_timers::FlowTimers::default(),
            endings: ending::EndingList::default(),
            extension_interval: EXTENSION_INTERVAL,
            next_extension: clock::Timestamp::default(),
        }
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flows.len()
    }

    /// Returns when the table wants to be woken.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        let update = if self.flows.is_empty() {
            clock::Timestamp::MAX
        } else {
            self.next_extension
        };
        self.timers.next().min(update).min(self.endings.next())
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Timestamp,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        match input {
            input::Input::Arrived(spec) => self.begin(now, spec, outputs),
            input::Input::Place(from, message) => self.take_message(now, from, message, outputs),
            input::Input::Prefilled(request, attempt, result) => {
                self.take_prefill(now, request, attempt, result, outputs);
            }
            input::Input::Imported(request, attempt, result) => {
                self.take_import(now, request, attempt, &result, outputs);
            }
            input::Input::Delivered(request, attempt, offset) => {
                self.take_progress(request, attempt, offset);
            }
            input::Input::DecodeEnded(request, attempt, offset, result) => {
                self.take_progress(request, attempt, offset);
                self.take_end(now, request, attempt, result, outputs);
            }
            input::Input::CallerGone(request) => self.abandon(now, request, outputs),
            input::Input::State(state) => {
                let changed = self.board.take_state(&state);
                self.state = state;
                self.take_owners(now, &changed, outputs);
            }
            input::Input::View(view) => {
                let changed = self.board.take_view(view);
                self.take_owners(now, &changed, outputs);
            }
            input::Input::DrainBegan => {}
            input::Input::Wake => self.wake(now, outputs),
        }
    }

    fn take_message(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        message: place::Message,
        outputs: &mut Vec<output::Output>,
    ) {
        match message {
            place::Message::Placed(placement) => self.take_placed(now, from, placement, outputs),
            place::Message::Refused(refusal) => self.take_refused(now, &refusal, outputs),
            place::Message::Revoked(leases) => self.take_revoked(now, &leases, outputs),
            place::Message::Spare(adverts) => self.board.take_spare(adverts),
            place::Message::WantClaims(cell) => self.claim_cell(cell, from, outputs),
            place::Message::Ask(_)
            | place::Message::Withdraw(..)
            | place::Message::Updates(_)
            | place::Message::Holding(..)
            | place::Message::Retarget(_)
            | place::Message::Claims(..) => {}
        }
    }

    fn take_owners(
        &mut self,
        now: clock::Timestamp,
        changed: &[ids::CellId],
        outputs: &mut Vec<output::Output>,
    ) {
        if changed.is_empty() {
            return;
        }
        let changed: collections::BTreeSet<ids::CellId> = changed.iter().copied().collect();
        self.claim_leases(&changed, outputs);
        let asking: Vec<ids::RequestId> = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.stage == flow_stage::FlowStage::Asking)
            .filter(|(_, flow)| changed.contains(&flow.cell))
            .map(|(request, _)| *request)
            .collect();
        for request in asking {
            self.ask(now, request, outputs);
        }
    }

    fn wake(&mut self, now: clock::Timestamp, outputs: &mut Vec<output::Output>) {
        while let Some(request) = self.timers.pop_due(now) {
            self.wake_flow(now, request, outputs);
        }
        self.endings.repeat_due(now, outputs);
        if now >= self.next_extension {
            self.next_extension = now + self.extension_interval;
            self.extend_leases(outputs);
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
            flow_stage::FlowStage::Asking => self.repeat_ask(now, request, outputs),
            flow_stage::FlowStage::Waiting { .. } => self.start_prefill(now, request, outputs),
            flow_stage::FlowStage::Importing => self.retarget(now, request, outputs),
            flow_stage::FlowStage::Retargeting => {
                self.redo(now, request, crate::WasteCause::TransferFailed, outputs);
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
