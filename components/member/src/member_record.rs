//! Record of one instance in a membership table.

use crate::{member_entry, member_state, member_update};

/// Record of one instance in a membership table.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    pub(crate) instance: border::InstanceEntry,
    pub(crate) incarnation: ids::Incarnation,
    /// Number of times the process has refuted a suspicion or announced its drain.
    pub(crate) epoch: u32,
    /// Alive, suspect or dead. Draining is stored separately because a draining instance can also
    /// become unresponsive.
    pub(crate) health: member_state::MemberState,
    /// Whether the process has announced that it is draining.
    pub(crate) draining: bool,
    /// Whether the platform's list contained the instance when last read.
    pub(crate) listed: bool,
    /// Time at which a suspect is declared dead.
    pub(crate) suspect_deadline: Option<clock::Timestamp>,
    /// Whether updates include the instance's entry, because peers may not have it yet.
    pub(crate) include_entry: bool,
}

impl MemberRecord {
    /// Creates the record of an instance without any heartbeat so far.
    pub(crate) const fn new(instance: border::InstanceEntry) -> Self {
        Self {
            instance,
            incarnation: ids::Incarnation(0),
            epoch: 0,
            health: member_state::MemberState::Alive,
            draining: false,
            listed: false,
            suspect_deadline: None,
            include_entry: false,
        }
    }

    /// Returns the state that combines health and draining.
    pub(crate) const fn state(&self) -> member_state::MemberState {
        match self.health {
            member_state::MemberState::Dead => member_state::MemberState::Dead,
            _ if self.draining || self.instance.leaving => member_state::MemberState::Leaving,
            health => health,
        }
    }

    /// Returns whether the instance is expected to acknowledge probes, but is suspect or dead.
    pub(crate) const fn is_unresponsive(&self) -> bool {
        self.is_expected() && !matches!(self.health, member_state::MemberState::Alive)
    }

    /// Returns whether the instance is expected to acknowledge probes: it is on the platform's list
    /// and isn't draining.
    pub(crate) const fn is_expected(&self) -> bool {
        self.listed && !self.draining && !self.instance.leaving
    }

    /// Returns whether a process of the instance is known and isn't declared dead.
    pub(crate) fn has_live_process(&self) -> bool {
        self.incarnation > ids::Incarnation(0) && self.health != member_state::MemberState::Dead
    }

    /// Returns the entry for the membership view.
    pub(crate) fn entry(&self) -> member_entry::MemberEntry {
        member_entry::MemberEntry {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            state: self.state(),
        }
    }

    /// Returns the update that describes this record to peers.
    pub(crate) fn update(&self) -> member_update::MemberUpdate {
        member_update::MemberUpdate {
            instance: self.instance.id,
            incarnation: self.incarnation,
            epoch: self.epoch,
            state: self.state(),
            entry: self.include_entry.then(|| self.instance.clone()),
        }
    }

    /// Applies an update and returns whether the record changed.
    ///
    /// The larger incarnation takes precedence, then the larger epoch, then the more severe health;
    /// an update that doesn't exceed the record is ignored. The announcement of a drain applies to
    /// the same incarnation regardless of the epoch.
    pub(crate) fn apply(&mut self, update: &member_update::MemberUpdate) -> bool {
        let drain_started = self.apply_draining(update);
        let health = health_of(update.state);
        let current = (self.incarnation, self.epoch, severity(self.health));
        if (update.incarnation, update.epoch, severity(health)) <= current {
            return drain_started;
        }
        if update.incarnation > self.incarnation {
            self.draining = update.state == member_state::MemberState::Leaving;
        }
        self.incarnation = update.incarnation;
        self.epoch = update.epoch;
        self.health = health;
        self.suspect_deadline = None;
        true
    }

    fn apply_draining(&mut self, update: &member_update::MemberUpdate) -> bool {
        let drain_started = update.state == member_state::MemberState::Leaving
            && update.incarnation == self.incarnation
            && !self.draining;
        self.draining |= drain_started;
        drain_started
    }
}

/// Returns the health part of a state; a draining instance counts as alive.
const fn health_of(state: member_state::MemberState) -> member_state::MemberState {
    match state {
        member_state::MemberState::Leaving => member_state::MemberState::Alive,
        health => health,
    }
}

/// Orders the health states of one process in one epoch; the more severe one overrides.
const fn severity(health: member_state::MemberState) -> u8 {
    match health {
        member_state::MemberState::Alive | member_state::MemberState::Leaving => 0,
        member_state::MemberState::Suspect => 1,
        member_state::MemberState::Dead => 2,
    }
}
