//! Messages between the machines of one instance.

use std::sync;

use crate::action;

/// A message on its way inside the core.
pub(super) enum Inner {
    Place(ids::InstanceId, place::Message),
    Call(ids::InstanceId, call::Message),
    State(sync::Arc<note::StateInForce>),
    View(sync::Arc<member::MemberView>),
    PrefillDemand(ids::CellId, i32),
    Drain(ids::ServerName, bool),
}

impl super::ControlCore {
    pub(super) fn deliver(
        &mut self,
        now: clock::Timestamp,
        inner: Inner,
        actions: &mut Vec<action::Action>,
    ) {
        match inner {
            Inner::Place(from, message) if is_for_entry(&message) => {
                self.flow(now, flow::Input::Place(from, message), actions);
            }
            Inner::Place(from, message) => {
                self.place(now, place::Input::Message(from, message), actions);
            }
            Inner::Call(from, message) => {
                self.call(now, call::Input::Message(from, message), actions)
            }
            Inner::State(state) => self.share_state(now, &state, actions),
            Inner::View(view) => self.share_view(now, &view, actions),
            Inner::Drain(engine, drained) => {
                self.place(now, place::Input::Drain(engine, drained), actions);
            }
            Inner::PrefillDemand(cell, count) => {
                self.order(now, order::Input::PrefillDemand(cell, count), actions);
            }
        }
    }

    pub(super) fn share_state(
        &mut self,
        now: clock::Timestamp,
        state: &sync::Arc<note::StateInForce>,
        actions: &mut Vec<action::Action>,
    ) {
        self.place(now, place::Input::State(sync::Arc::clone(state)), actions);
        self.flow(now, flow::Input::State(sync::Arc::clone(state)), actions);
        self.call(now, call::Input::State(sync::Arc::clone(state)), actions);
        self.order(now, order::Input::State(sync::Arc::clone(state)), actions);
        actions.push(action::Action::InForce(sync::Arc::clone(state)));
    }

    pub(super) fn share_view(
        &mut self,
        now: clock::Timestamp,
        view: &sync::Arc<member::MemberView>,
        actions: &mut Vec<action::Action>,
    ) {
        self.spread(now, spread::Input::View(sync::Arc::clone(view)), actions);
        self.place(now, place::Input::View(sync::Arc::clone(view)), actions);
        self.flow(now, flow::Input::View(sync::Arc::clone(view)), actions);
        self.call(now, call::Input::View(sync::Arc::clone(view)), actions);
        self.order(now, order::Input::View(sync::Arc::clone(view)), actions);
        actions.push(action::Action::ViewChanged(sync::Arc::clone(view)));
    }
}

/// Returns whether a placement message is for the entry's side rather than the owner's.
const fn is_for_entry(message: &place::Message) -> bool {
    matches!(
        message,
        place::Message::Placed(_)
            | place::Message::Refused(_)
            | place::Message::Revoked(_)
            | place::Message::RequestClaims(_)
            | place::Message::Capacity(_)
    )
}
