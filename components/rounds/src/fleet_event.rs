//! What happens in a run at a moment.

/// What happens at an instance.
#[derive(Clone, Debug)]
pub(crate) enum FleetEvent {
    /// The instance's timers are due.
    Wake,
    /// A message for the membership table arrives.
    Member(ids::InstanceId, member::Message),
    /// A message for the spreader arrives.
    Spread(ids::InstanceId, spread::Message),
    /// The platform's list arrives.
    Listed,
    /// The service answers a read.
    Read(ids::Revision),
    /// The wait of a watch with this number ends.
    WatchEnd(u64),
}

/// An event of one process of one instance.
#[derive(Clone, Debug)]
pub(crate) struct DueEvent {
    pub(crate) node: usize,
    /// Process the event is for; events of earlier processes are dropped.
    pub(crate) process: u64,
    pub(crate) event: FleetEvent,
}
