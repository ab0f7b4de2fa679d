//! A prefill result that waits for its export.

use crate::engine_model::{prefill_work, work_key};

/// A prefill result that waits for its export.
#[derive(Clone, Debug)]
pub struct RetainedCache {
    /// The attempt the result belongs to.
    pub key: work_key::WorkKey,
    /// Instance that answers the caller.
    pub entry: ids::InstanceId,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Pieces of engine memory held.
    pub kv_pieces: u32,
    /// Time the prompt was read.
    pub since: clock::Timestamp,
    /// Time at which the result is dropped; `MAX` while it is exported.
    pub until: clock::Timestamp,
}

impl RetainedCache {
    /// Makes the result of `work`.
    pub fn new(
        work: &prefill_work::PrefillWork,
        since: clock::Timestamp,
        until: clock::Timestamp,
    ) -> Self {
        Self {
            key: work.key,
            entry: work.entry,
            prompt_tokens: work.prompt_tokens,
            kv_pieces: work.kv_pieces(),
            since,
            until,
        }
    }
}
