//! What a cell owner counts of an engine.

/// What the owner of an engine's cell counts of it.
#[derive(Clone, Debug)]
pub struct EngineCount {
    /// Role that the engine last reported.
    pub role: note::EngineRole,
    /// Decode slots held.
    pub held_slots: u32,
    /// Pieces of engine memory held.
    pub held_pieces: u32,
    /// Prompt tokens that waited for prefill in the engine's last load report.
    pub queued_prompt_tokens: u64,
}

impl EngineCount {
    /// Returns the count of an engine.
    pub(crate) fn of(engine: &place::EngineState) -> Self {
        let report = engine.load.as_ref().map(|(_, report)| report);
        Self {
            role: engine.role,
            held_slots: engine.held_slots(),
            held_pieces: engine.held_pieces(),
            queued_prompt_tokens: report.map_or(0, |report| report.queued_prompt_tokens),
        }
    }
}
