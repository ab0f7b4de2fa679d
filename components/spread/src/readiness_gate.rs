//! Keeps a new instance from serving until its state is as recent as that of its peers.

use std::collections;

use crate::{message, readiness};

/// Number of ready peers whose status is required, or all alive peers when there are fewer.
const REQUIRED_PEERS: usize = 2;

/// Keeps a new instance from serving until its state is as recent as that of its peers.
///
/// The gate opens once the instance has at least the highest revision that its peers reported.
/// While no peer is ready, every instance that the platform lists as live must have sent its
/// status: a missing one may have a later state than the configuration service now returns.
#[derive(Debug, Default)]
pub(crate) struct ReadinessGate {
    /// Whether the platform's list was read.
    list_read: bool,
    /// Listed instances that aren't draining, without this one.
    expected: collections::BTreeSet<ids::InstanceId>,
    /// Number of expected instances that are alive.
    alive: usize,
    /// Readiness by peer, as last received.
    peer_ready: collections::BTreeMap<ids::InstanceId, bool>,
    /// Highest revision that a peer reported.
    highest_revision: ids::Revision,
    open: bool,
}

impl ReadinessGate {
    /// Replaces the membership view.
    pub(crate) fn update_view(&mut self, view: &member::MemberView) {
        if self.open {
            return;
        }
        self.list_read = view.listed;
        let others = view
            .members
            .values()
            .filter(|member| member.instance.id != view.own && !member.instance.leaving);
        self.alive = others
            .clone()
            .filter(|member| member.state == member::MemberState::Alive)
            .count();
        self.expected = others.map(|member| member.instance.id).collect();
    }

    /// Records the status of a peer.
    pub(crate) fn record_status(&mut self, from: ids::InstanceId, status: message::ReplicaStatus) {
        if !self.open {
            self.peer_ready.insert(from, status.ready);
            self.highest_revision = self.highest_revision.max(status.summary.revision);
        }
    }

    /// Returns the expected instances whose status is missing, in order of their ids.
    pub(crate) fn missing_peers(&self) -> Vec<ids::InstanceId> {
        let expected = self.expected.iter().copied();
        expected
            .filter(|peer| !self.peer_ready.contains_key(peer))
            .collect()
    }

    /// Returns whether the gate is open; it never closes again.
    pub(crate) const fn is_open(&self) -> bool {
        self.open
    }

    /// Opens the gate when `revision` in force satisfies all conditions.
    pub(crate) fn update(&mut self, revision: ids::Revision) {
        self.open = self.readiness(revision) == readiness::Readiness::Ready;
    }

    /// Returns the condition that the gate waits for.
    pub(crate) fn readiness(&self, revision: ids::Revision) -> readiness::Readiness {
        if self.open {
            readiness::Readiness::Ready
        } else if !self.list_read {
            readiness::Readiness::WaitingForList
        } else if !self.has_enough_responses() {
            readiness::Readiness::WaitingForPeers
        } else if revision == ids::Revision(0) || revision < self.highest_revision {
            readiness::Readiness::WaitingForNotes
        } else {
            readiness::Readiness::Ready
        }
    }

    fn has_enough_responses(&self) -> bool {
        let ready_peers = self.peer_ready.values().filter(|ready| **ready).count();
        ready_peers >= self.alive.clamp(1, REQUIRED_PEERS)
            || self
                .expected
                .iter()
                .all(|peer| self.peer_ready.contains_key(peer))
    }
}
