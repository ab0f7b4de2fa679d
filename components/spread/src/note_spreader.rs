//! The state machine that brings release notes into force.

use std::{sync, time};

use crate::{input, output};

/// Time between two reads of the configuration service.
const READ_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Brings release notes into force at one instance.
pub struct NoteSpreader {
    state: sync::Arc<note::StateInForce>,
    next_read: clock::Moment,
}

impl NoteSpreader {
    /// Makes a spreader with nothing in force.
    #[must_use]
    pub fn new(_own: ids::InstanceId, _seed: u64) -> Self {
        Self {
            state: sync::Arc::default(),
            next_read: clock::Moment::default(),
        }
    }

    /// Returns the state in force.
    #[must_use]
    pub const fn state(&self) -> &sync::Arc<note::StateInForce> {
        &self.state
    }

    /// Returns whether this instance may serve with what it has in force.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state.revision > ids::Revision(0)
    }

    /// Returns when the spreader wants to be woken.
    #[must_use]
    pub const fn next_wake(&self) -> clock::Moment {
        self.next_read
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Moment,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        match input {
            input::Input::ServiceAnswered(Some(values)) => {
                for value in values {
                    self.take_text(&value.text, outputs);
                }
            }
            input::Input::Wake if now >= self.next_read => {
                self.next_read = now + READ_INTERVAL;
                outputs.push(output::Output::ReadService(self.state.revision));
            }
            input::Input::ServiceAnswered(None)
            | input::Input::Wake
            | input::Input::Message(..)
            | input::Input::View(_) => {}
        }
    }

    fn take_text(&mut self, text: &str, outputs: &mut Vec<output::Output>) {
        let Ok(note) = note::ReleaseNote::from_yaml(text) else {
            return;
        };
        if note.revision <= self.state.revision {
            return;
        }
        match self.state.apply(&note) {
            Ok(state) => {
                self.state = sync::Arc::new(state);
                outputs.push(output::Output::InForce(sync::Arc::clone(&self.state)));
            }
            Err(reason) => outputs.push(output::Output::Refused(note.revision, reason)),
        }
    }
}
