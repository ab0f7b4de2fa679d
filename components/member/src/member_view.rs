//! An immutable view of the membership.

use std::collections;

use crate::{member_entry, member_state};

/// An immutable view of the membership, this instance included.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Serialize)]
pub struct MemberView {
    /// Instance that holds the view.
    pub own: ids::InstanceId,
    /// Counts the changes of the view.
    pub version: u64,
    /// Whether the view may be acted on; false after a pause until peers have answered.
    pub fresh: bool,
    /// Whether the platform's list has been read by this process.
    pub listed: bool,
    /// Whether too many instances went silent at once to be a matter of single failures.
    pub partitioned: bool,
    /// Known instances.
    pub members: collections::BTreeMap<ids::InstanceId, member_entry::MemberEntry>,
}

impl MemberView {
    /// Returns the instances that may own things and receive work, in order of their ids.
    pub fn usable(&self) -> impl Iterator<Item = &member_entry::MemberEntry> {
        self.members
            .values()
            .filter(|member| member.state == member_state::MemberState::Alive)
    }

    /// Returns whether the view holds `instance` as alive.
    #[must_use]
    pub fn is_alive(&self, instance: ids::InstanceId) -> bool {
        self.members
            .get(&instance)
            .is_some_and(|member| member.state == member_state::MemberState::Alive)
    }
}
