//! Records what the control core does as metrics.

use std::{collections, sync};

use crate::answer_clock;

/// Outcome of a call that a backend server answered.
const ANSWERED: &str = "ran";

/// Records what the control core does, from its events and actions.
pub(crate) struct CoreMeter {
    meter: meter::Meter,
    state: sync::Arc<note::StateInForce>,
    answers: collections::HashMap<ids::RequestId, answer_clock::AnswerClock>,
    /// Whether each call in flight is idempotent.
    calls: collections::HashMap<ids::RequestId, bool>,
}

impl CoreMeter {
    /// Makes a recorder that has seen nothing.
    pub(crate) fn new(meter: meter::Meter) -> Self {
        Self {
            meter,
            state: sync::Arc::default(),
            answers: collections::HashMap::new(),
            calls: collections::HashMap::new(),
        }
    }

    /// Records an event that the core takes at `now`.
    pub(crate) fn take_event(&mut self, now: clock::Timestamp, event: &control::Event) {
        match event {
            control::Event::RequestArrived(spec) => {
                self.meter.requests().arrived();
                let answer = answer_clock::AnswerClock::new(spec.class.clone(), now);
                self.answers.insert(spec.request, answer);
            }
            control::Event::CallArrived(spec) => {
                self.calls.insert(spec.request, spec.idempotent);
            }
            control::Event::CallerGone(request) => self.cancel(*request),
            control::Event::Prefilled(_, _, Ok(result)) => {
                let read = result.prompt_tokens.saturating_sub(result.cached_tokens);
                self.meter.requests().prefilled(read);
            }
            control::Event::Delivered(request, _, tokens)
            | control::Event::DecodeEnded(request, _, tokens, _) => {
                self.deliver(now, *request, *tokens);
            }
            control::Event::OrderAnswered(_, _, answer) => self.meter.orders().answered(*answer),
            _ => {}
        }
    }

    /// Records an action that the core decided on at `now`.
    pub(crate) fn take_action(&mut self, now: clock::Timestamp, action: &control::Action) {
        match action {
            control::Action::InForce(state) => {
                self.state = sync::Arc::clone(state);
                self.meter.notes().in_force(state.revision.0);
            }
            control::Action::NoteRefused(..) => self.meter.notes().refused(),
            control::Action::NotesDiverged(..) => self.meter.notes().diverged(),
            control::Action::ViewChanged(view) => self.change_members(view),
            control::Action::Send(
                _,
                wire::PeerMessage::Place(place::Message::Refused(refusal)),
            ) => {
                self.meter.placements().refused(refusal.reason);
            }
            control::Action::Prefill {
                request, attempt, ..
            } => self.start_prefill(now, *request, *attempt),
            control::Action::PrefillWasted(tokens, cause) => {
                self.meter.requests().wasted(*cause, *tokens)
            }
            control::Action::FinishRequest(request, outcome) => {
                self.finish_request(*request, outcome)
            }
            control::Action::Attempt { attempt, .. } if attempt.0 > 0 => {
                self.meter.calls().retried()
            }
            control::Action::FinishCall(request, outcome) => self.finish_call(*request, outcome),
            control::Action::Order(_, order, _) => self.meter.orders().ordered(&order.action),
            _ => {}
        }
    }

    /// Records what the core holds now.
    pub(crate) fn refresh(&self, core: &control::ControlCore, status: &spread::ReplicationStatus) {
        self.meter.requests().in_flight(core.in_flight());
        let cells: Vec<_> = core.owned_cells().map(|cell| cell.id).collect();
        let leases = cells
            .iter()
            .filter_map(|cell| core.owner().planner(*cell))
            .map(|planner| planner.cell_state.leases().count())
            .sum();
        self.meter.placements().owned(cells.len(), leases);
        self.refresh_notes(status);
        self.meter.notes().ready(core.is_ready());
        if let Some(used) = meter::thread_time() {
            self.meter.process().control_time(used);
        }
    }

    fn refresh_notes(&self, status: &spread::ReplicationStatus) {
        let own = status.summary.revision.0;
        let newest = status.peers.iter().map(|peer| peer.summary.revision.0);
        let lag = newest.max().unwrap_or(own).saturating_sub(own);
        let lagging = status.peers.iter().filter(|peer| peer.lag > 0).count();
        self.meter.notes().lag(lag, lagging);
    }

    fn cancel(&mut self, request: ids::RequestId) {
        let had_answer = self.answers.remove(&request).is_some();
        let had_call = self.calls.remove(&request).is_some();
        if had_answer || had_call {
            self.meter.requests().cancelled();
        }
    }

    fn deliver(&mut self, now: clock::Timestamp, request: ids::RequestId, tokens: u32) {
        let Some(answer) = self.answers.get_mut(&request) else {
            return;
        };
        let is_first = answer.deliver(now, tokens);
        if let Some(taken) = answer.first_token().filter(|_| is_first) {
            let class = answer.class.as_str();
            self.meter.requests().first_token(class, taken);
        }
    }

    fn start_prefill(
        &self,
        now: clock::Timestamp,
        request: ids::RequestId,
        attempt: ids::AttemptNumber,
    ) {
        self.meter.placements().granted();
        if attempt.0 > 0 {
            self.meter.requests().retried();
        } else if let Some(answer) = self.answers.get(&request) {
            self.meter.placements().waited(now.since(answer.arrived));
        }
    }

    fn finish_request(&mut self, request: ids::RequestId, outcome: &flow::FlowOutcome) {
        let answer = self.answers.remove(&request);
        let requests = self.meter.requests();
        match outcome {
            flow::FlowOutcome::Answered(_) => {
                if let Some(answer) = answer {
                    self.finish_answer(&answer);
                }
            }
            flow::FlowOutcome::Refused { reason, .. } => requests.refused(*reason),
            flow::FlowOutcome::Broken { outcome, .. } => requests.broken(*outcome),
        }
    }

    fn finish_answer(&self, answer: &answer_clock::AnswerClock) {
        let requests = self.meter.requests();
        let class = answer.class.as_str();
        if let Some(gap) = answer.token_gap() {
            requests.token_gap(class, gap);
        }
        let target = self.state.classes.get(&answer.class);
        if let Some(note::ClassTarget::Generation(targets)) = target.map(|class| &class.target) {
            requests.answered(class, answer.timing(targets));
        }
    }

    fn finish_call(&mut self, request: ids::RequestId, outcome: &call::CallOutcome) {
        let Some(idempotent) = self.calls.remove(&request) else {
            return;
        };
        let calls = self.meter.calls();
        match outcome {
            call::CallOutcome::Answered(_) => calls.ended(idempotent, ANSWERED),
            call::CallOutcome::Failed {
                outcome, failure, ..
            } => {
                calls.ended(idempotent, *outcome);
                calls.failed(*failure);
            }
        }
    }

    fn change_members(&self, view: &member::MemberView) {
        let mut counts: collections::BTreeMap<_, _> =
            <member::MemberState as strum::IntoEnumIterator>::iter()
                .map(|state| (state, 0))
                .collect();
        for member in view.members.values() {
            *counts.entry(member.state).or_default() += 1;
        }
        let members = self.meter.members();
        members.changed(counts, view.fresh, view.partitioned);
    }
}
