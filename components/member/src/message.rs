//! Messages between membership tables.

use crate::member_update;

/// A heartbeat, with news of some other instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Process of the sender.
    pub incarnation: ids::Incarnation,
    /// Counts how often the sender has refuted news about this process.
    pub epoch: u32,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Number of the heartbeat, which an acknowledgement repeats.
    pub sequence: u64,
    /// News of instances, at most [`crate::NEWS_LIMIT`].
    pub updates: Vec<member_update::MemberUpdate>,
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
    /// Tells that an instance acknowledged a probe made on the receiver's behalf.
    AckFor(ids::InstanceId, ids::Incarnation, u32),
}
