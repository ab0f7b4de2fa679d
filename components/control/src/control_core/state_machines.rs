//! Inputs to the state machines, and conversion of their outputs to actions.

use super::internal_message;
use crate::action;

impl super::ControlCore {
    pub(super) fn handle_member_input(
        &mut self,
        now: clock::Timestamp,
        input: member::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.members.handle(now, input, &mut outputs);
        self.handle_member_outputs(outputs, actions);
    }

    pub(super) fn handle_member_outputs(
        &mut self,
        outputs: Vec<member::Output>,
        actions: &mut Vec<action::Action>,
    ) {
        for output in outputs {
            match output {
                member::Output::Send(to, message) => {
                    actions.push(action::Action::Send(to, wire::PeerMessage::Member(message)));
                }
                member::Output::ReadList => actions.push(action::Action::ReadList),
                member::Output::ViewChanged(view) => self
                    .internal_queue
                    .push_back(internal_message::InternalMessage::View(view)),
            }
        }
    }

    pub(super) fn handle_spread_input(
        &mut self,
        now: clock::Timestamp,
        input: spread::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.replicator.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                spread::Output::Send(to, message) => {
                    actions.push(action::Action::Send(to, wire::PeerMessage::Spread(message)));
                }
                spread::Output::ReadService(after) => {
                    actions.push(action::Action::ReadService(after))
                }
                spread::Output::WatchService(after) => {
                    actions.push(action::Action::WatchService(after))
                }
                spread::Output::InForce(state) => self
                    .internal_queue
                    .push_back(internal_message::InternalMessage::State(state)),
                spread::Output::Refused(revision, reason) => {
                    actions.push(action::Action::NoteRefused(revision, reason));
                }
                spread::Output::Diverged(peer, own, other) => {
                    actions.push(action::Action::NotesDiverged(peer, own, other));
                }
            }
        }
    }

    pub(super) fn handle_place_input(
        &mut self,
        now: clock::Timestamp,
        input: place::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.owner.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                place::Output::Send(to, message) => {
                    self.send_placement_message(to, message, actions)
                }
                place::Output::Cancel(engine, request, attempt) => {
                    actions.push(action::Action::Cancel(engine, request, attempt));
                }
                place::Output::ReadLoad(engine) => actions.push(action::Action::ReadLoad(engine)),
                place::Output::ReadRunning(engine) => {
                    actions.push(action::Action::ReadRunning(engine))
                }
                place::Output::ReadCacheEvents(engine, after) => {
                    actions.push(action::Action::ReadCacheEvents(engine, after));
                }
                place::Output::PrefillDemand(cell, count) => {
                    self.internal_queue.push_back(
                        internal_message::InternalMessage::PrefillDemand(cell, count),
                    );
                }
            }
        }
    }

    pub(super) fn handle_flow_input(
        &mut self,
        now: clock::Timestamp,
        input: flow::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.flows.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                flow::Output::Send(to, message) => {
                    self.send_placement_message(to, message, actions)
                }
                flow::Output::Prefill {
                    request,
                    attempt,
                    engine,
                } => {
                    actions.push(action::Action::Prefill {
                        request,
                        attempt,
                        engine,
                    });
                }
                flow::Output::Import { engine, job } => {
                    actions.push(action::Action::Import { engine, job })
                }
                flow::Output::Decode { engine, job } => {
                    actions.push(action::Action::Decode { engine, job })
                }
                flow::Output::Cancel(engine, request, attempt) => {
                    actions.push(action::Action::Cancel(engine, request, attempt));
                }
                flow::Output::Wasted(tokens, cause) => {
                    actions.push(action::Action::PrefillWasted(tokens, cause));
                }
                flow::Output::Finish(request, outcome) => {
                    actions.push(action::Action::FinishRequest(request, outcome));
                }
            }
        }
    }

    pub(super) fn handle_call_input(
        &mut self,
        now: clock::Timestamp,
        input: call::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.calls.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                call::Output::Send(to, message) if to == self.own => {
                    // This instance is both the sender and the receiver.
                    self.internal_queue
                        .push_back(internal_message::InternalMessage::Call(to, message));
                }
                call::Output::Send(to, message) => {
                    actions.push(action::Action::Send(to, wire::PeerMessage::Call(message)));
                }
                call::Output::Attempt {
                    request,
                    attempt,
                    server,
                    time_left,
                    start_within,
                } => {
                    actions.push(action::Action::Attempt {
                        request,
                        attempt,
                        server,
                        time_left,
                        start_within,
                    });
                }
                call::Output::Finish(request, outcome) => {
                    actions.push(action::Action::FinishCall(request, outcome));
                }
            }
        }
    }

    pub(super) fn handle_order_input(
        &mut self,
        now: clock::Timestamp,
        input: order::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.reconciler.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                order::Output::ReadStatus(engine) => {
                    actions.push(action::Action::ReadStatus(engine))
                }
                order::Output::ReadRunning(engine) => {
                    actions.push(action::Action::ReadRunning(engine));
                }
                order::Output::Order(engine, order, within) => {
                    actions.push(action::Action::Order(engine, order, within));
                }
                order::Output::Drain(engine, draining) => {
                    self.internal_queue
                        .push_back(internal_message::InternalMessage::Drain(engine, draining));
                }
            }
        }
    }

    pub(super) fn send_placement_message(
        &mut self,
        to: ids::InstanceId,
        message: place::Message,
        actions: &mut Vec<action::Action>,
    ) {
        if to == self.own {
            // This instance is both the sender and the receiver.
            self.internal_queue
                .push_back(internal_message::InternalMessage::Place(to, message));
        } else {
            actions.push(action::Action::Send(to, wire::PeerMessage::Place(message)));
        }
    }
}
