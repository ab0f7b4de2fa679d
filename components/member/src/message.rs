//! Messages between membership tables.

use crate::member_update;

/// A heartbeat with piggybacked membership updates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Incarnation of the sending process.
    pub incarnation: ids::Incarnation,
    /// Number of times the sending process has refuted a suspicion or announced its drain.
    pub epoch: u32,
    /// Whether the sender is draining.
    pub leaving: bool,
    /// Sequence number of the probe; an acknowledgement returns the same number.
    pub sequence: u64,
    /// Updates about instances, at most [`crate::UPDATE_LIMIT`].
    pub updates: Vec<member_update::MemberUpdate>,
}

/// A message between membership tables.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Requests an acknowledgement; also shows that the sender is alive.
    Probe(Heartbeat),
    /// Acknowledges a probe.
    Ack(Heartbeat),
    /// Requests an indirect probe: the receiver probes the given instance on the sender's behalf.
    ProbeFor(ids::InstanceId),
    /// Reports that an instance acknowledged an indirect probe, with its incarnation and epoch.
    AckFor(ids::InstanceId, ids::Incarnation, u32),
}
