//! News of one instance, passed on in heartbeats.

use crate::member_state;

/// News of one instance, passed on in heartbeats.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MemberUpdate {
    /// Instance the news is about.
    pub instance: ids::InstanceId,
    /// Process of the instance.
    pub incarnation: ids::Incarnation,
    /// Counts how often that process has refuted news; larger is later.
    pub epoch: u32,
    /// What the sender believes.
    pub state: member_state::MemberState,
    /// Where the instance is, while it may not be in the platform's list yet.
    pub entry: Option<border::InstanceEntry>,
}
