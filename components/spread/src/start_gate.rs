//! Holds a new instance back until it has heard what peers have in force.

use std::collections::BTreeSet;

use crate::{message, readiness};

/// Peers that a new instance hears before it serves, where there are as many.
const PEERS_HEARD: usize = 2;

/// Holds a new instance back until it has heard what peers have in force.
///
/// As long as the platform lists other instances as live and none of them answers, the instance
/// stays back: it can't know that what the service gave it is not older than what is in force.
#[derive(Debug, Default)]
pub(crate) struct StartGate {
    listed: bool,
    expected: usize,
    reachable: usize,
    heard: BTreeSet<ids::InstanceId>,
    highest: ids::Revision,
    open: bool,
}

impl StartGate {
    /// Takes a changed membership.
    pub(crate) fn take_view(&mut self, view: &member::MemberView) {
        self.listed = view.listed;
        let others = view
            .members
            .values()
            .filter(|member| member.instance.id != view.own && !member.instance.leaving);
        self.expected = others.clone().count();
        self.reachable = others
            .filter(|member| member.state == member::MemberState::Alive)
            .count();
    }

    /// Takes what a peer has in force.
    pub(crate) fn hear(&mut self, from: ids::InstanceId, summary: message::Summary) {
        if !self.open {
            self.heard.insert(from);
            self.highest = self.highest.max(summary.revision);
        }
    }

    /// Returns whether the gate has opened; it never closes again.
    pub(crate) const fn is_open(&self) -> bool {
        self.open
    }

    /// Opens the gate when `revision` is what it waited for, and tells what it waits for.
    pub(crate) fn check(&mut self, revision: ids::Revision) -> readiness::Readiness {
        let readiness = self.readiness(revision);
        self.open = readiness == readiness::Readiness::Ready;
        readiness
    }

    /// Returns what the gate waits for.
    pub(crate) fn readiness(&self, revision: ids::Revision) -> readiness::Readiness {
        let wanted = self.reachable.clamp(1, PEERS_HEARD).min(self.expected);
        if self.open {
            readiness::Readiness::Ready
        } else if !self.listed {
            readiness::Readiness::WaitingForList
        } else if self.heard.len() < wanted {
            readiness::Readiness::WaitingForPeers
        } else if revision == ids::Revision(0) || revision < self.highest {
            readiness::Readiness::WaitingForNotes
        } else {
            readiness::Readiness::Ready
        }
    }
}
