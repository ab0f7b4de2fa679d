//! A membership update, piggybacked on heartbeats.

use crate::member_state;

/// An update about one instance, piggybacked on heartbeats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberUpdate {
    /// Instance that the update describes.
    pub instance: ids::InstanceId,
    /// Incarnation of the process that the update describes.
    pub incarnation: ids::Incarnation,
    /// Number of times that process has refuted a suspicion or announced its drain; an update with
    /// a larger epoch supersedes one with a smaller.
    pub epoch: u32,
    /// State of the instance according to the sender.
    pub state: member_state::MemberState,
    /// Id, address and location; present while the platform's list may not include the instance
    /// yet.
    pub entry: Option<border::InstanceEntry>,
}
