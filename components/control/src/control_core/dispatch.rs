//! Dispatch of events to the state machines.

use super::internal_message;
use crate::{action, event};

impl super::ControlCore {
    pub(super) fn dispatch(
        &mut self,
        now: clock::Timestamp,
        event: event::Event,
        actions: &mut Vec<action::Action>,
    ) {
        use event::Event;
        match event {
            Event::Wake => self.wake(now, actions),
            Event::Peer(from, message) => self.handle_peer_message(now, from, message, actions),
            Event::Listed(entries) => {
                self.handle_member_input(now, member::Input::Listed(entries), actions)
            }
            Event::ServiceResponded(values) => {
                self.handle_spread_input(now, spread::Input::ServiceResponded(values), actions)
            }
            Event::WeightLoadLimit(loads) => {
                self.handle_order_input(now, order::Input::LoadsPerMinute(loads), actions)
            }
            Event::RequestArrived(spec) => {
                self.handle_flow_input(now, flow::Input::Arrived(spec), actions)
            }
            Event::CallArrived(spec) => {
                self.handle_call_input(now, call::Input::Arrived(spec), actions)
            }
            Event::CallerGone(request) => {
                self.handle_flow_input(now, flow::Input::CallerGone(request), actions);
                self.handle_call_input(now, call::Input::CallerGone(request), actions);
            }
            Event::Prefilled(request, attempt, result) => {
                self.handle_flow_input(
                    now,
                    flow::Input::Prefilled(request, attempt, result),
                    actions,
                );
            }
            Event::Imported(request, attempt, result) => {
                self.handle_flow_input(
                    now,
                    flow::Input::Imported(request, attempt, result),
                    actions,
                );
            }
            Event::Delivered(request, attempt, offset) => {
                self.handle_flow_input(
                    now,
                    flow::Input::Delivered(request, attempt, offset),
                    actions,
                );
            }
            Event::DecodeEnded(request, attempt, offset, result) => {
                self.handle_flow_input(
                    now,
                    flow::Input::DecodeEnded(request, attempt, offset, result),
                    actions,
                );
            }
            Event::AttemptEnded(request, attempt, result) => {
                self.handle_call_input(
                    now,
                    call::Input::AttemptEnded(request, attempt, result),
                    actions,
                );
            }
            Event::Load(engine, report) => {
                self.handle_place_input(now, place::Input::Load(engine, report), actions)
            }
            Event::Running(engine, list) => self.handle_running(now, engine, list, actions),
            Event::CacheEvents(engine, events) => {
                self.handle_place_input(now, place::Input::CacheEvents(engine, events), actions);
            }
            Event::Status(engine, status) => self.handle_status(now, engine, status, actions),
            Event::OrderAnswered(engine, number, answer) => {
                self.handle_order_input(
                    now,
                    order::Input::Answered(engine, number, answer),
                    actions,
                );
            }
            Event::DrainStarted => self.begin_drain(now, actions),
        }
    }

    pub(super) fn handle_peer_message(
        &mut self,
        now: clock::Timestamp,
        from: ids::InstanceId,
        message: wire::PeerMessage,
        actions: &mut Vec<action::Action>,
    ) {
        match message {
            wire::PeerMessage::Member(message) => {
                self.handle_member_input(now, member::Input::Message(from, message), actions);
            }
            wire::PeerMessage::Spread(message) => {
                self.handle_spread_input(now, spread::Input::Message(from, message), actions);
            }
            wire::PeerMessage::Place(message) => self
                .internal_queue
                .push_back(internal_message::InternalMessage::Place(from, message)),
            wire::PeerMessage::Call(message) => self
                .internal_queue
                .push_back(internal_message::InternalMessage::Call(from, message)),
        }
    }

    pub(super) fn wake(&mut self, now: clock::Timestamp, actions: &mut Vec<action::Action>) {
        self.handle_member_input(now, member::Input::Wake, actions);
        self.handle_spread_input(now, spread::Input::Wake, actions);
        self.handle_place_input(now, place::Input::Wake, actions);
        self.handle_flow_input(now, flow::Input::Wake, actions);
        self.handle_call_input(now, call::Input::Wake, actions);
        self.handle_order_input(now, order::Input::Wake, actions);
    }

    pub(super) fn begin_drain(&mut self, now: clock::Timestamp, actions: &mut Vec<action::Action>) {
        self.draining = true;
        self.handle_member_input(now, member::Input::DrainStarted, actions);
        self.handle_flow_input(now, flow::Input::DrainStarted, actions);
        self.handle_call_input(now, call::Input::DrainStarted, actions);
    }

    pub(super) fn handle_running(
        &mut self,
        now: clock::Timestamp,
        engine: ids::ServerName,
        list: Option<Vec<border::RunningEntry>>,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(list) = &list {
            let count = u32::try_from(list.len()).unwrap_or(u32::MAX);
            self.handle_order_input(
                now,
                order::Input::RunningCount(engine.clone(), count),
                actions,
            );
        }
        self.handle_place_input(now, place::Input::Running(engine, list), actions);
    }

    pub(super) fn handle_status(
        &mut self,
        now: clock::Timestamp,
        engine: ids::ServerName,
        status: Option<border::EngineStatus>,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(status) = &status {
            self.handle_place_input(
                now,
                place::Input::Role(engine.clone(), status.role),
                actions,
            );
        }
        self.handle_order_input(now, order::Input::Status(engine, status), actions);
    }
}
