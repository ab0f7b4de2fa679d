//! One instance as the membership sees it.

use crate::member_state;

/// One instance as the membership sees it.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct MemberEntry {
    /// Where the instance is, from the platform's list or from itself.
    pub instance: border::InstanceEntry,
    /// Process of the instance.
    pub incarnation: ids::Incarnation,
    /// What is believed of it.
    pub state: member_state::MemberState,
}
