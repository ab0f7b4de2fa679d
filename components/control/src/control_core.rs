//! The composed state machine of an instance.

use std::{collections::VecDeque, sync};

use crate::{action, core_config, event};

/// A message on its way inside the core.
enum Inner {
    Place(ids::InstanceId, place::Message),
    Call(ids::InstanceId, call::Message),
    State(sync::Arc<note::StateInForce>),
    View(sync::Arc<member::MemberView>),
    WantPrefill(ids::CellId, i32),
    Drain(ids::ServerName, bool),
}

/// Every decision of an instance.
pub struct ControlCore {
    own: ids::InstanceId,
    members: member::MemberTable,
    spreader: spread::NoteSpreader,
    owner: place::CellOwner,
    flows: flow::FlowTable,
    keeper: call::CallKeeper,
    reconciler: order::OrderReconciler,
    draining: bool,
    inner: VecDeque<Inner>,
}

impl ControlCore {
    /// Makes the core of an instance that knows nothing yet.
    #[must_use]
    pub fn new(config: core_config::CoreConfig) -> Self {
        let own = config.own.id;
        let seed = config.seed;
        let keeper = call::KeeperConfig::builder()
            .own(own)
            .seed(seed)
            .maybe_key_retention(config.key_retention)
            .build();
        let members = member::MemberTable::new(config.own, config.incarnation, seed);
        let view = sync::Arc::new(members.view().clone());
        Self {
            own,
            members,
            spreader: spread::NoteSpreader::new(own, seed),
            owner: place::CellOwner::with_policy(own, seed, config.policy),
            flows: flow::FlowTable::new(own, seed),
            keeper: call::CallKeeper::with_config(keeper),
            reconciler: order::OrderReconciler::new(own, seed),
            draining: false,
            inner: VecDeque::from([Inner::View(view)]),
        }
    }

    /// Returns whether this instance may take callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.draining && self.spreader.is_ready() && self.members.view().listed
    }

    /// Returns the number of requests and calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flows.in_flight() + self.keeper.in_flight()
    }

    /// Returns the state in force.
    #[must_use]
    pub const fn state(&self) -> &sync::Arc<note::StateInForce> {
        self.spreader.state()
    }

    /// Returns the membership as seen here.
    #[must_use]
    pub fn view(&self) -> &member::MemberView {
        self.members.view()
    }

    /// Returns the cells that this instance owns.
    pub fn owned_cells(&self) -> impl Iterator<Item = &place::cell::Cell> {
        self.owner.owned().values()
    }

    /// Returns the placement of the cells that this instance owns.
    #[must_use]
    pub const fn owner(&self) -> &place::CellOwner {
        &self.owner
    }

    /// Returns what operators read back about release notes.
    #[must_use]
    pub fn note_status(&self, now: clock::Moment) -> spread::SpreadStatus {
        self.spreader.status(now)
    }

    /// Returns the orders to engines that aren't settled.
    #[must_use]
    pub fn open_orders(&self, now: clock::Moment) -> Vec<order::OrderReport> {
        self.reconciler.open_orders(now)
    }

    /// Returns when [`event::Event::Wake`] is due; it may be in the past.
    #[must_use]
    pub fn next_wake(&self) -> clock::Moment {
        [
            self.members.next_wake(),
            self.spreader.next_wake(),
            self.owner.next_wake(),
            self.flows.next_wake(),
            self.keeper.next_wake(),
            self.reconciler.next_wake(),
        ]
        .into_iter()
        .min()
        .unwrap_or(clock::Moment::MAX)
    }

    /// Takes one event at `now` and appends what is to be done to `actions`.
    pub fn handle(
        &mut self,
        now: clock::Moment,
        event: event::Event,
        actions: &mut Vec<action::Action>,
    ) {
        self.notice_time(now, actions);
        self.dispatch(now, event, actions);
        self.settle(now, actions);
    }

    /// Lets every machine know of a pause before anything is decided at `now`.
    fn notice_time(&mut self, now: clock::Moment, actions: &mut Vec<action::Action>) {
        let mut outputs = Vec::new();
        self.members.notice_time(now, &mut outputs);
        self.take_member(outputs, actions);
        self.settle(now, actions);
    }

    fn settle(&mut self, now: clock::Moment, actions: &mut Vec<action::Action>) {
        while let Some(inner) = self.inner.pop_front() {
            self.deliver(now, inner, actions);
        }
    }

    fn dispatch(
        &mut self,
        now: clock::Moment,
        event: event::Event,
        actions: &mut Vec<action::Action>,
    ) {
        use event::Event;
        match event {
            Event::Wake => self.wake(now, actions),
            Event::Peer(from, message) => self.take_peer(now, from, message, actions),
            Event::Listed(entries) => self.member(now, member::Input::Listed(entries), actions),
            Event::ServiceAnswered(values) => {
                self.spread(now, spread::Input::ServiceAnswered(values), actions)
            }
            Event::WeightLimit(loads) => {
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
            Event::Attempted(request, attempt, result) => {
                self.call(
                    now,
                    call::Input::Attempted(request, attempt, result),
                    actions,
                );
            }
            Event::Load(engine, report) => {
                self.place(now, place::Input::Load(engine, report), actions)
            }
            Event::Running(engine, list) => self.take_running(now, engine, list, actions),
            Event::CacheEvents(engine, events) => {
                self.place(now, place::Input::CacheEvents(engine, events), actions);
            }
            Event::Status(engine, status) => self.take_status(now, engine, status, actions),
            Event::OrderAnswered(engine, number, answer) => {
                self.order(now, order::Input::Answered(engine, number, answer), actions);
            }
            Event::DrainBegan => self.begin_drain(now, actions),
        }
    }

    fn take_peer(
        &mut self,
        now: clock::Moment,
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
            wire::PeerMessage::Place(message) => self.inner.push_back(Inner::Place(from, message)),
            wire::PeerMessage::Call(message) => self.inner.push_back(Inner::Call(from, message)),
        }
    }

    fn deliver(&mut self, now: clock::Moment, inner: Inner, actions: &mut Vec<action::Action>) {
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
            Inner::WantPrefill(cell, count) => {
                self.order(now, order::Input::WantPrefill(cell, count), actions);
            }
        }
    }

    fn wake(&mut self, now: clock::Moment, actions: &mut Vec<action::Action>) {
        self.member(now, member::Input::Wake, actions);
        self.spread(now, spread::Input::Wake, actions);
        self.place(now, place::Input::Wake, actions);
        self.flow(now, flow::Input::Wake, actions);
        self.call(now, call::Input::Wake, actions);
        self.order(now, order::Input::Wake, actions);
    }

    fn begin_drain(&mut self, now: clock::Moment, actions: &mut Vec<action::Action>) {
        self.draining = true;
        self.member(now, member::Input::DrainBegan, actions);
        self.flow(now, flow::Input::DrainBegan, actions);
        self.call(now, call::Input::DrainBegan, actions);
    }

    fn take_running(
        &mut self,
        now: clock::Moment,
        engine: ids::ServerName,
        list: Option<Vec<border::RunningEntry>>,
        actions: &mut Vec<action::Action>,
    ) {
        if let Some(list) = &list {
            let count = u32::try_from(list.len()).unwrap_or(u32::MAX);
            self.order(now, order::Input::Busy(engine.clone(), count), actions);
        }
        self.place(now, place::Input::Running(engine, list), actions);
    }

    fn take_status(
        &mut self,
        now: clock::Moment,
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

    fn share_state(
        &mut self,
        now: clock::Moment,
        state: &sync::Arc<note::StateInForce>,
        actions: &mut Vec<action::Action>,
    ) {
        self.place(now, place::Input::State(sync::Arc::clone(state)), actions);
        self.flow(now, flow::Input::State(sync::Arc::clone(state)), actions);
        self.call(now, call::Input::State(sync::Arc::clone(state)), actions);
        self.order(now, order::Input::State(sync::Arc::clone(state)), actions);
        actions.push(action::Action::InForce(sync::Arc::clone(state)));
    }

    fn share_view(
        &mut self,
        now: clock::Moment,
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

    fn member(
        &mut self,
        now: clock::Moment,
        input: member::Input,
        actions: &mut Vec<action::Action>,
    ) {
        let mut outputs = Vec::new();
        self.members.handle(now, input, &mut outputs);
        self.take_member(outputs, actions);
    }

    fn take_member(&mut self, outputs: Vec<member::Output>, actions: &mut Vec<action::Action>) {
        for output in outputs {
            match output {
                member::Output::Send(to, message) => {
                    actions.push(action::Action::Send(to, wire::PeerMessage::Member(message)));
                }
                member::Output::ReadList => actions.push(action::Action::ReadList),
                member::Output::ViewChanged(view) => self.inner.push_back(Inner::View(view)),
            }
        }
    }

    fn spread(
        &mut self,
        now: clock::Moment,
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
                spread::Output::InForce(state) => self.inner.push_back(Inner::State(state)),
                spread::Output::Refused(revision, reason) => {
                    actions.push(action::Action::NoteRefused(revision, reason));
                }
                spread::Output::Diverged(peer, own, other) => {
                    actions.push(action::Action::NotesDiverged(peer, own, other));
                }
            }
        }
    }

    fn place(
        &mut self,
        now: clock::Moment,
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
                place::Output::WantPrefill(cell, count) => {
                    self.inner.push_back(Inner::WantPrefill(cell, count));
                }
            }
        }
    }

    fn flow(&mut self, now: clock::Moment, input: flow::Input, actions: &mut Vec<action::Action>) {
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

    fn call(&mut self, now: clock::Moment, input: call::Input, actions: &mut Vec<action::Action>) {
        let mut outputs = Vec::new();
        self.keeper.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                call::Output::Send(to, message) if to == self.own => {
                    self.inner.push_back(Inner::Call(to, message));
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

    fn order(
        &mut self,
        now: clock::Moment,
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
                    self.inner.push_back(Inner::Drain(engine, drained));
                }
            }
        }
    }

    fn send_place(
        &mut self,
        to: ids::InstanceId,
        message: place::Message,
        actions: &mut Vec<action::Action>,
    ) {
        if to == self.own {
            self.inner.push_back(Inner::Place(to, message));
        } else {
            actions.push(action::Action::Send(to, wire::PeerMessage::Place(message)));
        }
    }
}

/// Returns whether a placement message is for the entry's side rather than the owner's.
const fn is_for_entry(message: &place::Message) -> bool {
    matches!(
        message,
        place::Message::Placed(_)
            | place::Message::Refused(_)
            | place::Message::Revoked(_)
            | place::Message::WantClaims(_)
            | place::Message::Spare(_)
    )
}
