//! A KV cache to import.

use crate::engine_model::work_key;

/// A KV cache to import.
#[derive(Clone, Debug, bon::Builder)]
pub struct ImportWork {
    /// The attempt the work belongs to.
    pub key: work_key::WorkKey,
    /// Instance that answers the caller.
    pub entry: ids::InstanceId,
    /// KV cache at the exporting engine.
    pub kv_handle: u64,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Pieces of engine memory to hold.
    pub kv_pieces: u32,
    /// Priority; higher goes first.
    #[builder(default)]
    pub priority: u8,
}
