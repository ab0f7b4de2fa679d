//! A prompt to read.

use crate::engine_model::work_key;

/// A prompt to read.
#[derive(Clone, Debug, bon::Builder)]
pub struct PrefillWork {
    /// The attempt the work belongs to.
    pub key: work_key::WorkKey,
    /// Instance that answers the caller.
    pub entry: ids::InstanceId,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's leading blocks, longest prefix last.
    #[builder(default)]
    pub blocks: Vec<u64>,
    /// Priority; higher goes first.
    #[builder(default)]
    pub priority: u8,
}

impl PrefillWork {
    /// Returns the pieces of engine memory the result needs.
    #[must_use]
    pub const fn kv_pieces(&self) -> u32 {
        self.prompt_tokens.div_ceil(note::KV_PIECE_TOKENS)
    }
}
