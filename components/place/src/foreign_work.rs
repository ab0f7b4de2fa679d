//! Work that an engine lists and no lease covers.

/// Work that an engine lists and no lease covers.
#[derive(Clone, Debug)]
pub struct ForeignWork {
    /// Instance that answers the caller, by the engine.
    pub entry: ids::InstanceId,
    /// What the engine does for it.
    pub phase: border::RunningPhase,
    /// Pieces of engine memory it holds.
    pub kv_pieces: u32,
    /// Time it was first seen without a lease.
    pub first_seen: clock::Timestamp,
    /// Time its end was last asked for.
    pub cancelled_at: Option<clock::Timestamp>,
}

impl ForeignWork {
    /// Returns whether the work holds a decode slot.
    #[must_use]
    pub const fn holds_slot(&self) -> bool {
        matches!(
            self.phase,
            border::RunningPhase::Import | border::RunningPhase::Decode
        )
    }
}
