//! Receivers of state updates.

use std::{collections, net};

use crate::instance_update;

/// Receivers of the state updates that an instance sends.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpdateRoutes {
    /// Receivers of its own updates alone.
    pub direct: collections::BTreeSet<net::Ipv4Addr>,
    /// Receivers of its own updates and of those that it forwards for all instances.
    pub members: Vec<net::Ipv4Addr>,
    /// Receivers of its own updates and of those that it forwards for the instances of its data
    /// centre.
    pub forwarders: Vec<net::Ipv4Addr>,
}

impl UpdateRoutes {
    /// Returns whether the instance forwards the updates of others.
    #[must_use]
    pub const fn is_forwarding(&self) -> bool {
        !self.members.is_empty() || !self.forwarders.is_empty()
    }
}

/// How a received state update is forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ForwardScope {
    /// Not at all.
    Nowhere,
    /// To the instances of this data centre.
    Members,
    /// To the instances of this data centre and the forwarders of the others.
    Everywhere,
}

/// Effect of a received state update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UpdateEffect {
    /// Whether the sender's view differs from this instance's and is newer.
    pub is_behind: bool,
    /// How the update is forwarded.
    pub scope: ForwardScope,
}

/// Update for an instance that discovers the fleet.
#[derive(Clone, Debug)]
pub struct GreetingUpdate {
    /// Address of the instance.
    pub newcomer: net::Ipv4Addr,
    /// Update that contains the instances to which the newcomer sends its own updates.
    pub update: instance_update::InstanceUpdate,
}
