//! One instance of a run.

/// One instance of a run.
pub struct FleetNode {
    /// Where the instance stands.
    pub entry: border::InstanceEntry,
    /// Its membership table.
    pub members: member::MemberTable,
    /// Its spreader.
    pub spreader: spread::NoteReplicator,
    /// Whether a process runs.
    pub is_up: bool,
    /// Number of the process.
    pub process: u64,
    /// When the process was started.
    pub started: clock::Timestamp,
    /// Until when the process is paused.
    pub paused_until: clock::Timestamp,
    /// When each revision came into force in this process, in order.
    pub history: Vec<(clock::Timestamp, spread::Summary)>,
    /// When the instance became ready, and with what.
    pub ready_at: Option<(clock::Timestamp, ids::Revision)>,
    /// When a wake is due.
    pub(crate) wake_at: clock::Timestamp,
    /// The watch that waits: its number and the revision it waits beyond.
    pub(crate) watch: Option<(u64, ids::Revision)>,
}

impl FleetNode {
    /// Returns when the instance had at least `revision` in force.
    #[must_use]
    pub fn in_force_at(&self, revision: ids::Revision) -> Option<clock::Timestamp> {
        let index = self
            .history
            .partition_point(|(_, summary)| summary.revision < revision);
        self.history.get(index).map(|(moment, _)| *moment)
    }

    /// Returns the revision that was in force at a moment.
    #[must_use]
    pub fn revision_at(&self, moment: clock::Timestamp) -> ids::Revision {
        let index = self.history.partition_point(|(since, _)| *since <= moment);
        let summary = index.checked_sub(1).map(|last| self.history[last].1);
        summary.unwrap_or_default().revision
    }

    /// Returns when the machines want to be woken.
    pub(crate) fn next_wake(&self) -> clock::Timestamp {
        self.members.next_wake().min(self.spreader.next_wake())
    }
}
