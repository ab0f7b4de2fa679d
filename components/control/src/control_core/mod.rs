//! The composed state machine of an instance.

mod dispatch;
mod inner;
mod machines;

use std::{collections, sync};

use crate::{action, core_config, event};

/// Every decision of an instance.
pub struct ControlCore {
    own: ids::InstanceId,
    members: member::MemberTable,
    spreader: spread::NoteReplicator,
    owner: place::CellOwner,
    flows: flow::FlowTable,
    keeper: call::CallManager,
    reconciler: order::OrderReconciler,
    draining: bool,
    inner: collections::VecDeque<inner::Inner>,
}

impl ControlCore {
    /// Makes the core of an instance that knows nothing yet.
    #[must_use]
    pub fn new(config: core_config::CoreConfig) -> Self {
        let own = config.own.id;
        let seed = config.seed;
        let keeper = call::CallConfig::builder()
            .own(own)
            .seed(seed)
            .maybe_key_retention(config.key_retention)
            .build();
        let members = member::MemberTable::new(config.own, config.incarnation, seed);
        let view = sync::Arc::new(members.view().clone());
        Self {
            own,
            members,
            spreader: spread::NoteReplicator::new(own, seed),
            owner: place::CellOwner::with_policy(own, seed, config.policy),
            flows: flow::FlowTable::new(own, seed),
            keeper: call::CallManager::with_config(keeper),
            reconciler: order::OrderReconciler::new(own, seed),
            draining: false,
            inner: collections::VecDeque::from([inner::Inner::View(view)]),
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
    pub fn note_status(&self, now: clock::Timestamp) -> spread::ReplicationStatus {
        self.spreader.status(now)
    }

    /// Returns the orders to engines that aren't settled.
    #[must_use]
    pub fn open_orders(&self, now: clock::Timestamp) -> Vec<order::OrderReport> {
        self.reconciler.open_orders(now)
    }

    /// Returns when [`event::Event::Wake`] is due; it may be in the past.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
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
        .unwrap_or(clock::Timestamp::MAX)
    }

    /// Takes one event at `now` and appends what is to be done to `actions`.
    pub fn handle(
        &mut self,
        now: clock::Timestamp,
        event: event::Event,
        actions: &mut Vec<action::Action>,
    ) {
        self.detect_pause(now, actions);
        self.dispatch(now, event, actions);
        self.settle(now, actions);
    }

    /// Lets every machine know of a pause before anything is decided at `now`.
    fn detect_pause(&mut self, now: clock::Timestamp, actions: &mut Vec<action::Action>) {
        let mut outputs = Vec::new();
        self.members.detect_pause(now, &mut outputs);
        self.take_member(outputs, actions);
        self.settle(now, actions);
    }

    fn settle(&mut self, now: clock::Timestamp, actions: &mut Vec<action::Action>) {
        while let Some(inner) = self.inner.pop_front() {
            self.deliver(now, inner, actions);
        }
    }
}
