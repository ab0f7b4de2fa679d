//! A request that an engine holds.

use crate::running_phase;

/// A request that an engine holds, from the engine's running list.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct RunningEntry {
    /// The request.
    pub request: ids::RequestId,
    /// The attempt.
    pub attempt: ids::AttemptNumber,
    /// Instance that answers the caller.
    pub entry: ids::InstanceId,
    /// What the engine does for it.
    pub phase: running_phase::RunningPhase,
    /// Pieces of engine memory it holds.
    pub kv_pieces: u32,
    /// Tokens generated so far.
    pub generated_tokens: u32,
    /// Time since the engine took it, in milliseconds.
    pub age_ms: u64,
}
