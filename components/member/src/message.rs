//! Messages between membership tables.

use crate::member_state;

/// A heartbeat, with news of some other instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Process of the sender.
    pub incarnation: ids::Incarnation,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Number of the heartbeat, which an acknowledgement repeats.
    pub sequence: u64,
    /// News of instances: who, which process, what is believed.
    pub news: Vec<(ids::InstanceId, ids::Incarnation, member_state::MemberState)>,
}

/// A message between membership tables.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Tells that the sender lives and asks for an acknowledgement.
    Probe(Heartbeat),
    /// Acknowledges a probe.
    Ack(Heartbeat),
    /// Asks the receiver to probe an instance on the sender's behalf.
    ProbeFor(ids::InstanceId),
}
