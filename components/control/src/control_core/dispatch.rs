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
            Event::Listed(entries) => self.member(now, member::Input::Listed(entries), actions),
            Event::ServiceResponded(values) => {
                self.spread(now, spread::Input::ServiceResponded(values), actions)
            }
            Event::WeightLoadLimit(loads) => {
                self.order(now, order::Input::LoadsPerMinute(loads), actions)
            }
            Event::RequestArrived(spec) => self.flow(now, flow::Input::Arrived(spec), actions),
            Event::CallArrived(spec) => self.call(now, call::Input::Arrived(spec), actions),
            Event::CallerGone(request) => {
                self.flow(now, flow::Input::CallerGone(request), actions);
                self.call(now, call::Input::CallerGone(request), actions);
            }
            Event::Prefilled(request, attempt, result) => {
                self.flow(
                    now,
                    flow::Input::Prefilled(request, attempt, result),
                    actions,
                );
            }
            Event::Imported(request, attempt, result) => {
                self.flow(
                    now,
                    flow::Input::Imported(request, attempt, result),
                    actions,
                );
            }
            Event::Delivered(request, attempt, offset) => {
                self.flow(
                    now,
                    flow::Input::Delivered(request, attempt, offset),
                    actions,
                );
            }
            Event::DecodeEnded(request, attempt, offset, result) => {
                self.flow(
                    now,
                    flow::Input::DecodeEnded(request, attempt, offset, result),
                    actions,
                );
            }
            Event::AttemptEnded(request, attempt, result) => {
                self.call(
                    now,
                    call::Input::AttemptEnded(request, attempt, result),
                    actions,
                );
            }
            Event::Load(engine, report) => {
                self.place(now, place::Input::Load(engine, report), actions)
            }
            Event::Running(engine, list) => self.handle_running(now, engine, list, actions),
            Event::CacheEvents(engine, events) => {
                self.place(now, place::Input::CacheEvents(engine, events), actions);
            }
            Event::Status(engine, status) => self.handle_status(now, engine, status, actions),
            Event::OrderAnswered(engine, number, answer) => {
                self.order(now, order::Input::Answered(engine, number, answer), actions);
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
                self.member(now, member::Input::Message(from, message), actions);
            }
            wire::PeerMessage::Spread(message) => {
                self.spread(now, spread::Input::Message(from, message), actions);
            }
            wire::PeerMessage::Place(message) => self
                .internal
                .push_back(internal_message::InternalMessage::Place(from, message)),
            wire::PeerMessage::Call(message) => self
                .internal
                .push_back(internal_message::InternalMessage::Call(from, message)),
        }
    }

    pub(super) fn wake(&mut self, now: clock::Timestamp, actions: &mut Vec<action::Action>) {
        self.member(now, member::Input::Wake, actions);
        self.spread(now, spread::Input::Wake, actions);
        self.place(now, place::Input::Wake, actions);
        self.flow(now, flow::Input::Wake, actions);
        self.call(now, call::Input::Wake, actions);
        self.order(now, order::Input::Wake, actions);
    }

    pub(super) fn begin_drain(&mut self, now: clock::Timestamp, actions: &mut Vec<action::Action>) {
        self.draining = true;
        self.member(now, member::Input::DrainStarted, actions);
        self.flow(now, flow::Input::DrainStarted, actions);
        self.call(now, call::Input::DrainStarted, actions);
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
            self.order(
                now,
                order::Input::RunningCount(engine.clone(), count),
                actions,
            );
        }
        self.place(now, place::Input::Running(engine, list), actions);
    }

    pub(super) fn handle_status(
        &mut self,
        now: clock::Timestamp,
        engine: ids::ServerName,
        status: Option<border::EngineStatus>,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(status) = &status {
            self.place(
                now,
                place::Input::Role(engine.clone(), status.role),
                actions,
            );
        }
        self.order(now, order::Input::Status(engine, status), actions);
    }
}
