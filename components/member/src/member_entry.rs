//! Entry of one instance in a membership view.

use crate::member_state;

/// Entry of one instance in a membership view.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct MemberEntry {
    /// Id, address and location, from the platform's list or from the instance itself.
    pub instance: border::InstanceEntry,
    /// Incarnation of the latest known process; zero before any heartbeat or update.
    pub incarnation: ids::Incarnation,
    /// State of the instance, as seen by the instance that holds the view.
    pub state: member_state::MemberState,
}
