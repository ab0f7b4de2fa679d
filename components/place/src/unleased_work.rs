//! Work that an engine lists and no lease covers.

/// Work that an engine lists and no lease covers.
#[derive(Clone, Debug)]
pub struct UnleasedWork {
    /// Entry instance of the request, as reported by the engine.
    pub entry: ids::InstanceId,
    /// Phase of the work at the engine.
    pub phase: border::RunningPhase,
    /// KV cache pieces that the work holds.
    pub kv_pieces: u32,
    /// Time at which the work was first listed without a lease.
    pub first_seen: clock::Timestamp,
    /// Time of the last cancellation.
    pub cancelled_at: Option<clock::Timestamp>,
}

impl UnleasedWork {
    /// Returns whether the work holds a decode slot.
    #[must_use]
    pub const fn holds_slot(&self) -> bool {
        matches!(
            self.phase,
            border::RunningPhase::Import | border::RunningPhase::Decode
        )
    }
}
