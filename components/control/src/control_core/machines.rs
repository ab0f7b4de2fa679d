//! Gives inputs to the machines and turns their outputs into actions.

use super::inner;
use crate::action;

impl super::ControlCore {
    pub(super) fn member(
        &mut self,
        now: clock::Timestamp,
        input: member::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.members.handle(now, input, &mut outputs);
        self.take_member(outputs, actions);
    }

    pub(super) fn take_member(
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
                member::Output::ViewChanged(view) => self.inner.push_back(inner::Inner::View(view)),
            }
        }
    }

    pub(super) fn spread(
        &mut self,
        now: clock::Timestamp,
        input: spread::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.spreader.handle(now, input, &mut outputs);
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
                spread::Output::InForce(state) => self.inner.push_back(inner::Inner::State(state)),
                spread::Output::Refused(revision, reason) => {
                    actions.push(action::Action::NoteRefused(revision, reason));
                }
                spread::Output::Diverged(peer, own, other) => {
                    actions.push(action::Action::NotesDiverged(peer, own, other));
                }
            }
        }
    }

    pub(super) fn place(
        &mut self,
        now: clock::Timestamp,
        input: place::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.owner.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                place::Output::Send(to, message) => self.send_place(to, message, actions),
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
                    self.inner
                        .push_back(inner::Inner::PrefillDemand(cell, count));
                }
            }
        }
    }

    pub(super) fn flow(
        &mut self,
        now: clock::Timestamp,
        input: flow::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.flows.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                flow::Output::Send(to, message) => self.send_place(to, message, actions),
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

    pub(super) fn call(
        &mut self,
        now: clock::Timestamp,
        input: call::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.keeper.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                call::Output::Send(to, message) if to == self.own => {
                    self.inner.push_back(inner::Inner::Call(to, message));
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

    pub(super) fn order(
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
                order::Output::Drain(engine, drained) => {
                    self.inner.push_back(inner::Inner::Drain(engine, drained));
                }
            }
        }
    }

    pub(super) fn send_place(
        &mut self,
        to: ids::InstanceId,
        message: place::Message,
        actions: &mut Vec<action::Action>,
    ) {
        if to == self.own {
            self.inner.push_back(inner::Inner::Place(to, message));
        } else {
            actions.push(action::Action::Send(to, wire::PeerMessage::Place(message)));
        }
    }
}
