//! The state machine of an instance, composed of those of its parts.

mod dispatch;
mod internal_message;
mod state_machines;

use std::{collections, sync};

use crate::{action, core_config, event};

/// State machine that makes all decisions of an instance.
pub struct ControlCore {
    own: ids::InstanceId,
    members: member::MemberTable,
    replicator: spread::NoteReplicator,
    owner: place::CellOwner,
    flows: flow::FlowTable,
    calls: call::CallManager,
    reconciler: order::OrderReconciler,
    draining: bool,
    /// Messages between the state machines that aren't delivered yet.
    internal_queue: collections::VecDeque<internal_message::InternalMessage>,
}

impl ControlCore {
    /// Creates the core of an instance without peers and without release notes.
    #[must_use]
    pub fn new(config: core_config::CoreConfig) -> Self {
        let own = config.own.id;
        let seed = config.seed;
        let call_config = call::CallConfig::builder()
            .own(own)
            .seed(seed)
            .maybe_key_retention(config.key_retention)
            .build();
        let members = member::MemberTable::new(config.own, config.incarnation, seed);
        let view = sync::Arc::new(members.view().clone());
        Self {
            own,
            members,
            replicator: spread::NoteReplicator::new(own, seed),
            owner: place::CellOwner::with_policy(own, seed, config.policy),
            flows: flow::FlowTable::new(own, seed),
            calls: call::CallManager::with_config(call_config),
            reconciler: order::OrderReconciler::new(own, seed),
            draining: false,
            internal_queue: collections::VecDeque::from([internal_message::InternalMessage::View(
                view,
            )]),
        }
    }

    /// Returns whether this instance may accept requests of callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.draining && self.replicator.is_ready() && self.members.view().listed
    }

    /// Returns the number of requests and calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flows.in_flight() + self.calls.in_flight()
    }

    /// Returns the state in force.
    #[must_use]
    pub const fn state(&self) -> &sync::Arc<note::StateInForce> {
        self.replicator.state()
    }

    /// Returns the membership view of this instance.
    #[must_use]
    pub fn view(&self) -> &member::MemberView {
        self.members.view()
    }

    /// Returns the cells that this instance owns.
    pub fn owned_cells(&self) -> impl Iterator<Item = &place::cell::Cell> {
        self.owner.owned().values()
    }

    /// Returns the state machine that places requests in the cells that this instance owns.
    #[must_use]
    pub const fn owner(&self) -> &place::CellOwner {
        &self.owner
    }

    /// Returns the replication status of the release notes at `now`, for operators.
    #[must_use]
    pub fn note_status(&self, now: clock::Timestamp) -> spread::ReplicationStatus {
        self.replicator.status(now)
    }

    /// Returns the orders to engines that are still open.
    #[must_use]
    pub fn open_orders(&self, now: clock::Timestamp) -> Vec<order::OrderReport> {
        self.reconciler.open_orders(now)
    }

    /// Returns when [`event::Event::Wake`] is due; it may be in the past.
    #[must_use]
    pub fn next_wake(&self) -> clock::Timestamp {
        [
            self.members.next_wake(),
            self.replicator.next_wake(),
            self.owner.next_wake(),
            self.flows.next_wake(),
            self.calls.next_wake(),
            self.reconciler.next_wake(),
        ]
        .into_iter()
        .min()
        .unwrap_or(clock::Timestamp::MAX)
    }

    /// Handles one event at `now` and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: clock::Timestamp,
        event: event::Event,
        actions: &mut Vec<action::Action>,
    ) {
        self.detect_pause(now, actions);
        self.dispatch(now, event, actions);
        self.process_internal(now, actions);
    }

    /// Detects a pause of the process before the event at `now` is handled.
    ///
    /// A process that was paused must not rely on its old membership view.
    fn detect_pause(&mut self, now: clock::Timestamp, actions: &mut Vec<action::Action>) {
        let mut outputs = Vec::new();
        self.members.detect_pause(now, &mut outputs);
        self.handle_member_outputs(outputs, actions);
        self.process_internal(now, actions);
    }

    /// Delivers the queued internal messages until none is left.
    fn process_internal(&mut self, now: clock::Timestamp, actions: &mut Vec<action::Action>) {
        while let Some(message) = self.internal_queue.pop_front() {
            self.deliver(now, message, actions);
        }
    }
}
