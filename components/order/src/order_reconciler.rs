//! The state machine of engine orders.

use std::{sync, time};

use crate::{input, output};

/// Time between two readings of an engine's status.
const STATUS_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Brings the engines of owned cells to the desired state.
pub struct OrderReconciler {
    own: ids::InstanceId,
    state: sync::Arc<note::StateInForce>,
    view: sync::Arc<member::MemberView>,
    next_status: clock::Moment,
}

impl OrderReconciler {
    /// Makes a reconciler without engines.
    #[must_use]
    pub fn new(own: ids::InstanceId, _seed: u64) -> Self {
        Self {
            own,
            state: sync::Arc::default(),
            view: sync::Arc::default(),
            next_status: clock::Moment::default(),
        }
    }

    /// Returns when the reconciler wants to be woken.
    #[must_use]
    pub const fn next_wake(&self) -> clock::Moment {
        self.next_status
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Moment,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        match input {
            input::Input::State(state) => self.state = state,
            input::Input::View(view) => self.view = view,
            input::Input::Wake if now >= self.next_status => {
                self.next_status = now + STATUS_INTERVAL;
                self.read_statuses(outputs);
            }
            _ => {}
        }
    }

    fn read_statuses(&self, outputs: &mut Vec<output::Output>) {
        for cell in place::cell::cells(&self.state) {
            if place::cell::owner(&cell, &self.view) == Some(self.own) {
                outputs.extend(cell.engines.into_iter().map(output::Output::ReadStatus));
            }
        }
    }
}
