//! Holds a new instance back until it has heard what peers have in force.

use std::collections;

use crate::{message, readiness};

/// Serving peers that a new instance hears before it serves, where there are as many.
const PEERS_HEARD: usize = 2;

/// Holds a new instance back until it has heard what peers have in force.
///
/// The gate opens once the instance has what the serving peers that it heard had. Where no peer
/// serves yet, every instance that the platform lists as live must have answered: as long as one
/// is silent, that one may have a later state than the service now gives.
#[derive(Debug, Default)]
pub(crate) struct StartGate {
    listed: bool,
    expected: collections::BTreeSet<ids::InstanceId>,
    reachable: usize,
    /// Peers that were heard, with whether they serve.
    heard: collections::BTreeMap<ids::InstanceId, bool>,
    highest: ids::Revision,
    open: bool,
}

impl StartGate {
    /// Takes a changed membership.
    pub(crate) fn take_view(&mut self, view: &member::MemberView) {
        if self.open {
            return;
        }
        self.listed = view.listed;
        let others = view
            .members
            .values()
            .filter(|member| member.instance.id != view.own && !member.instance.leaving);
        self.reachable = others
            .clone()
            .filter(|member| member.state == member::MemberState::Alive)
            .count();
        self.expected = others.map(|member| member.instance.id).collect();
    }

    /// Takes what a peer has in force.
    pub(crate) fn hear(&mut self, from: ids::InstanceId, standing: message::ReplicaStatus) {
        if !self.open {
            self.heard.insert(from, standing.ready);
            self.highest = self.highest.max(standing.summary.revision);
        }
    }

    /// Returns the instances that haven't been heard, in order of their ids.
    pub(crate) fn unheard(&self) -> Vec<ids::InstanceId> {
        let expected = self.expected.iter().copied();
        expected
            .filter(|peer| !self.heard.contains_key(peer))
            .collect()
    }

    /// Returns whether the gate has opened; it never closes again.
    pub(crate) const fn is_open(&self) -> bool {
        self.open
    }

    /// Opens the gate when `revision` is what it waited for.
    pub(crate) fn check(&mut self, revision: ids::Revision) {
        self.open = self.readiness(revision) == readiness::Readiness::Ready;
    }

    /// Returns what the gate waits for.
    pub(crate) fn readiness(&self, revision: ids::Revision) -> readiness::Readiness {
        if self.open {
            readiness::Readiness::Ready
        } else if !self.listed {
            readiness::Readiness::WaitingForList
        } else if !self.has_heard_enough() {
            readiness::Readiness::WaitingForPeers
        } else if revision == ids::Revision(0) || revision < self.highest {
            readiness::Readiness::WaitingForNotes
        } else {
            readiness::Readiness::Ready
        }
    }

    fn has_heard_enough(&self) -> bool {
        let serving = self.heard.values().filter(|ready| **ready).count();
        serving >= self.reachable.clamp(1, PEERS_HEARD)
            || self
                .expected
                .iter()
                .all(|peer| self.heard.contains_key(peer))
    }
}
