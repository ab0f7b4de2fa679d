//! Messages between the state machines of one instance.

use std::sync;

use crate::action;

/// A queued message between two state machines of the core.
pub(super) enum InternalMessage {
    /// Placement message from an instance, possibly this one.
    Place(ids::InstanceId, place::Message),
    /// Call message from an instance, possibly this one.
    Call(ids::InstanceId, call::Message),
    /// A state that has come into force.
    State(sync::Arc<note::StateInForce>),
    /// A changed membership view.
    View(sync::Arc<member::MemberView>),
    /// How many more engines of a cell should run prefill (positive) or decode (negative).
    PrefillDemand(ids::CellId, i32),
    /// An engine starts to drain (`true`) or accepts new work again (`false`).
    Drain(ids::ServerName, bool),
}

impl super::ControlCore {
    pub(super) fn deliver(
        &mut self,
        now: clock::Timestamp,
        message: InternalMessage,
        actions: &mut Vec<action::Action>,
    ) {
        match message {
            InternalMessage::Place(from, message) if is_for_entry_instance(&message) => {
                self.handle_flow_input(now, flow::Input::Place(from, message), actions);
            }
            InternalMessage::Place(from, message) => {
                self.handle_place_input(now, place::Input::Message(from, message), actions);
            }
            InternalMessage::Call(from, message) => {
                self.handle_call_input(now, call::Input::Message(from, message), actions)
            }
            InternalMessage::State(state) => self.distribute_state(now, &state, actions),
            InternalMessage::View(view) => self.distribute_view(now, &view, actions),
            InternalMessage::Drain(engine, draining) => {
                self.handle_place_input(now, place::Input::Drain(engine, draining), actions);
            }
            InternalMessage::PrefillDemand(cell, count) => {
                self.handle_order_input(now, order::Input::PrefillDemand(cell, count), actions);
            }
        }
    }

    pub(super) fn distribute_state(
        &mut self,
        now: clock::Timestamp,
        state: &sync::Arc<note::StateInForce>,
        actions: &mut Vec<action::Action>,
    ) {
        self.handle_place_input(now, place::Input::State(sync::Arc::clone(state)), actions);
        self.handle_flow_input(now, flow::Input::State(sync::Arc::clone(state)), actions);
        self.handle_call_input(now, call::Input::State(sync::Arc::clone(state)), actions);
        self.handle_order_input(now, order::Input::State(sync::Arc::clone(state)), actions);
        actions.push(action::Action::InForce(sync::Arc::clone(state)));
    }

    pub(super) fn distribute_view(
        &mut self,
        now: clock::Timestamp,
        view: &sync::Arc<member::MemberView>,
        actions: &mut Vec<action::Action>,
    ) {
        self.handle_spread_input(now, spread::Input::View(sync::Arc::clone(view)), actions);
        self.handle_place_input(now, place::Input::View(sync::Arc::clone(view)), actions);
        self.handle_flow_input(now, flow::Input::View(sync::Arc::clone(view)), actions);
        self.handle_call_input(now, call::Input::View(sync::Arc::clone(view)), actions);
        self.handle_order_input(now, order::Input::View(sync::Arc::clone(view)), actions);
        actions.push(action::Action::ViewChanged(sync::Arc::clone(view)));
    }
}

/// Returns whether the receiver of a placement message is the entry instance, not the owner.
const fn is_for_entry_instance(message: &place::Message) -> bool {
    matches!(
        message,
        place::Message::Placed(_)
            | place::Message::Refused(_)
            | place::Message::Revoked(_)
            | place::Message::RequestClaims(_)
            | place::Message::Capacity(_)
    )
}
