//! The membership state machine.

use std::{sync, time};

use crate::{input, member_entry, member_state, member_view, output};

/// Time between two reads of the platform's list.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// The membership as one instance sees it.
pub struct MemberTable {
    view: member_view::MemberView,
    own: border::InstanceEntry,
    incarnation: ids::Incarnation,
    next_list: clock::Moment,
}

impl MemberTable {
    /// Makes a table that knows this instance alone.
    #[must_use]
    pub fn new(own: border::InstanceEntry, incarnation: ids::Incarnation, _seed: u64) -> Self {
        let mut table = Self {
            view: member_view::MemberView {
                own: own.id,
                fresh: true,
                ..Default::default()
            },
            own,
            incarnation,
            next_list: clock::Moment::default(),
        };
        table.insert_own();
        table
    }

    /// Returns the current view.
    #[must_use]
    pub const fn view(&self) -> &member_view::MemberView {
        &self.view
    }

    /// Returns when the table wants to be woken.
    #[must_use]
    pub const fn next_wake(&self) -> clock::Moment {
        self.next_list
    }

    /// Takes one input at `now` and appends what is to be done to `outputs`.
    pub fn handle(
        &mut self,
        now: clock::Moment,
        input: input::Input,
        outputs: &mut Vec<output::Output>,
    ) {
        match input {
            input::Input::Listed(entries) => self.take_list(entries, outputs),
            input::Input::Wake if now >= self.next_list => {
                self.next_list = now + LIST_INTERVAL;
                outputs.push(output::Output::ReadList);
            }
            input::Input::Wake | input::Input::Message(..) | input::Input::DrainBegan => {}
        }
    }

    fn take_list(
        &mut self,
        entries: Vec<border::InstanceEntry>,
        outputs: &mut Vec<output::Output>,
    ) {
        let before = self.view.members.clone();
        self.view.members.clear();
        for entry in entries {
            let state = if entry.leaving {
                member_state::MemberState::Leaving
            } else {
                member_state::MemberState::Alive
            };
            self.view.members.insert(
                entry.id,
                member_entry::MemberEntry {
                    instance: entry,
                    incarnation: ids::Incarnation::default(),
                    state,
                },
            );
        }
        self.insert_own();
        if before != self.view.members {
            self.view.version += 1;
            outputs.push(output::Output::ViewChanged(sync::Arc::new(
                self.view.clone(),
            )));
        }
    }

    fn insert_own(&mut self) {
        self.view.members.insert(
            self.own.id,
            member_entry::MemberEntry {
                instance: self.own.clone(),
                incarnation: self.incarnation,
                state: member_state::MemberState::Alive,
            },
        );
    }
}
