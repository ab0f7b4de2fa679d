//! What a membership table keeps of one instance.

use crate::{member_entry, member_state, member_update};

/// What a membership table keeps of one instance.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    pub(crate) instance: border::InstanceEntry,
    pub(crate) incarnation: ids::Incarnation,
    pub(crate) epoch: u32,
    /// Alive, suspect or dead; leaving is kept apart because a leaving instance can go silent too.
    pub(crate) health: member_state::MemberState,
    /// Whether the process has told that it is leaving.
    pub(crate) leaving: bool,
    /// Whether the last list that was read names the instance.
    pub(crate) listed: bool,
    /// When a suspect is held to be dead.
    pub(crate) suspect_until: Option<clock::Timestamp>,
    /// Whether peers may not know the address yet.
    pub(crate) announce: bool,
}

impl MemberRecord {
    /// Makes the record of an instance of which no heartbeat is known.
    pub(crate) const fn new(instance: border::InstanceEntry) -> Self {
        Self {
            instance,
            incarnation: ids::Incarnation(0),
            epoch: 0,
            health: member_state::MemberState::Alive,
            leaving: false,
            listed: false,
            suspect_until: None,
            announce: false,
        }
    }

    /// Returns what is believed of the instance as a whole.
    pub(crate) const fn state(&self) -> member_state::MemberState {
        match self.health {
            member_state::MemberState::Dead => member_state::MemberState::Dead,
            _ if self.leaving || self.instance.leaving => member_state::MemberState::Leaving,
            health => health,
        }
    }

    /// Returns whether the instance is silent although the platform lists it as live.
    pub(crate) const fn is_silent(&self) -> bool {
        self.is_expected() && !matches!(self.health, member_state::MemberState::Alive)
    }

    /// Returns whether the platform lists the instance as live.
    pub(crate) const fn is_expected(&self) -> bool {
        self.listed && !self.leaving && !self.instance.leaving
    }

    /// Returns whether heartbeats have shown the instance and it isn't held to be dead.
    pub(crate) fn is_heard(&self) -> bool {
        self.incarnation > ids::Incarnation(0) && self.health != member_state::MemberState::Dead
    }

    /// Returns the record as others see it.
    pub(crate) fn entry(&self) -> member_entry::MemberEntry {
        member_entry::MemberEntry {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            state: self.state(),
        }
    }

    /// Returns the record as news for peers.
    pub(crate) fn news(&self) -> member_update::MemberUpdate {
        member_update::MemberUpdate {
            instance: self.instance.id,
            incarnation: self.incarnation,
            epoch: self.epoch,
            state: self.state(),
            entry: self.announce.then(|| self.instance.clone()),
        }
    }

    /// Takes later news; returns whether it said anything new.
    pub(crate) fn learn(&mut self, news: &member_update::MemberUpdate) -> bool {
        let leaves = self.learn_leaving(news);
        let health = health_of(news.state);
        let known = (self.incarnation, self.epoch, rank(self.health));
        if (news.incarnation, news.epoch, rank(health)) <= known {
            return leaves;
        }
        if news.incarnation > self.incarnation {
            self.leaving = news.state == member_state::MemberState::Leaving;
        }
        self.incarnation = news.incarnation;
        self.epoch = news.epoch;
        self.health = health;
        self.suspect_until = None;
        true
    }

    fn learn_leaving(&mut self, news: &member_update::MemberUpdate) -> bool {
        let leaves = news.state == member_state::MemberState::Leaving
            && news.incarnation == self.incarnation
            && !self.leaving;
        self.leaving |= leaves;
        leaves
    }
}

/// Returns the health that a state tells of.
const fn health_of(state: member_state::MemberState) -> member_state::MemberState {
    match state {
        member_state::MemberState::Leaving => member_state::MemberState::Alive,
        health => health,
    }
}

/// Orders what may be believed of one process in one epoch; bad news goes first.
const fn rank(health: member_state::MemberState) -> u8 {
    match health {
        member_state::MemberState::Alive | member_state::MemberState::Leaving => 0,
        member_state::MemberState::Suspect => 1,
        member_state::MemberState::Dead => 2,
    }
}
