//! What happens at an engine.

use crate::engine_model::work_key;

/// What happens at an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// A prompt has been read.
    Prefilled(work_key::WorkKey, border::PrefillResult),
    /// A prefill result was dropped because nobody imported it in time.
    Dropped(work_key::WorkKey),
    /// An import has been admitted; the source is to export the KV cache of this handle.
    Pull(work_key::WorkKey, u64),
    /// A KV cache has left this engine.
    Exported(u64),
    /// A KV cache has arrived.
    Imported(work_key::WorkKey),
    /// A token was generated.
    Token {
        /// The attempt.
        key: work_key::WorkKey,
        /// Place of the token in the answer.
        offset: u32,
        /// Set on the last token.
        finish: Option<border::FinishReason>,
    },
}
