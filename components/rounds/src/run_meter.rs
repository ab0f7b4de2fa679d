//! What a run counts.

/// What a run counts since the counts were last reset.
#[derive(Clone, Debug, Default)]
pub struct RunMeter {
    /// Messages of the membership.
    pub member_messages: u64,
    /// Bytes of these messages.
    pub member_bytes: u64,
    /// Messages of the note spread.
    pub spread_messages: u64,
    /// Bytes of these messages.
    pub spread_bytes: u64,
    /// Bytes of the note spread that went from one region to another.
    pub far_bytes: u64,
    /// Bytes of parts of whole states, which count in `spread_bytes` too.
    pub part_bytes: u64,
    /// Calls to the configuration service; a waiting watch is one.
    pub service_calls: u64,
    /// Reads of the platform's list.
    pub list_reads: u64,
    /// Times that an instance reported another state at the same revision.
    pub divergences: u64,
    /// Times that an instance began to serve with less than a serving peer on its side of any
    /// partition had when the instance was started, or that a revision went down.
    pub reversions: u64,
    /// Changes of views.
    pub view_changes: u64,
}
