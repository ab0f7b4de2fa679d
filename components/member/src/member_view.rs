//! An immutable view of the membership.

use std::collections;

use crate::{member_entry, member_state};

/// An immutable view of the membership, this instance included.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct MemberView {
    /// Instance that holds the view.
    pub own: ids::InstanceId,
    /// Number of changes of the view so far.
    pub version: u64,
    /// Whether decisions may rely on the view; false after the start, after a pause of the process and
    /// after a peer reported the process as dead, until the list has been read and peers have
    /// acknowledged probes.
    pub fresh: bool,
    /// Whether this process has read the platform's instance list.
    pub listed: bool,
    /// Whether so many listed instances are unresponsive that a network partition is more likely
    /// than separate failures.
    pub partitioned: bool,
    /// Known instances by id.
    pub members: collections::BTreeMap<ids::InstanceId, member_entry::MemberEntry>,
}

impl MemberView {
    /// Returns the instances that may own cells and receive work, in order of their ids.
    pub fn usable(&self) -> impl Iterator<Item = &member_entry::MemberEntry> {
        self.members
            .values()
            .filter(|member| member.state == member_state::MemberState::Alive)
    }

    /// Returns whether the view lists `instance` as alive.
    #[must_use]
    pub fn is_alive(&self, instance: ids::InstanceId) -> bool {
        self.members
            .get(&instance)
            .is_some_and(|member| member.state == member_state::MemberState::Alive)
    }
}
